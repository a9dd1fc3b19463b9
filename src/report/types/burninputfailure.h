#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNINPUTFAILURE_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNINPUTFAILURE_H

#include <string>

namespace cranberryspool::report {

/// Why the burn counters cannot be read from the status of an instance.
struct BurnInputFailure {
  enum class Reason { InvalidJson, NoBurnMember, InvalidMember };

  Reason Reason_ = Reason::InvalidJson;
  /// The JSON pointer to the missing or invalid member; empty for invalid JSON.
  std::string Pointer_;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNINPUTFAILURE_H
