#ifndef CRANBERRYSPOOL_REPORT_TYPES_BURNINPUTFAILURE_H
#define CRANBERRYSPOOL_REPORT_TYPES_BURNINPUTFAILURE_H

#include <string>

namespace cranberryspool::report {

/// Why a text holds no burn counters.
struct BurnInputFailure {
  enum class Reason { InvalidJson, NoBurnMember, InvalidMember };

  Reason Reason_ = Reason::InvalidJson;
  /// The JSON pointer of what is wrong.
  std::string Pointer_;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_BURNINPUTFAILURE_H
