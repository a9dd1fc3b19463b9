#ifndef CRANBERRYSPOOL_STANDINS_SETTINGSFAILURE_H
#define CRANBERRYSPOOL_STANDINS_SETTINGSFAILURE_H

#include <string>

namespace cranberryspool::standins {

/// Why the settings of a stand-in process were refused.
struct SettingsFailure {
  enum class Kind { NotJson, MissingMember, WrongType };

  Kind Kind_ = Kind::NotJson;
  /// The member concerned.
  std::string Member_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_SETTINGSFAILURE_H
