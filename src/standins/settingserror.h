#ifndef CRANBERRYSPOOL_STANDINS_SETTINGSERROR_H
#define CRANBERRYSPOOL_STANDINS_SETTINGSERROR_H

#include <string>

namespace cranberryspool::standins {

/// The reason why the settings of a stand-in process are invalid.
struct SettingsError {
  enum class Kind { NotJson, MissingMember, WrongType };

  Kind Kind_ = Kind::NotJson;
  /// The name of the missing or invalid member; empty for `NotJson`.
  std::string Member_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_SETTINGSERROR_H
