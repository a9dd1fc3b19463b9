#ifndef CRANBERRYSPOOL_STANDINS_CALLRECORD_H
#define CRANBERRYSPOOL_STANDINS_CALLRECORD_H

#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryspool::standins {

/// The outcome of one call as the caller observed it.
struct CallRecord {
  /// The identifier that the caller gave the call.
  std::string Call_;
  /// The index of the stream in the settings.
  std::size_t Stream_ = 0;
  /// The indices of the phases in which the call began and ended.
  std::size_t Phase_ = 0;
  std::size_t EndPhase_ = 0;
  /// `answered`, `not-run`, `unknown`, `deadline`, `no-connection`,
  /// `no-instance` (no instance was ready), `cut` (the connection closed before
  /// the response was complete), `timeout` (no complete response within the
  /// timeout), `wrong` (the response belongs to another call) or `status-N`
  /// (the response with status N has no ending header).
  std::string Ending_;
  std::string Reason_;
  unsigned Status_ = 0;
  /// `IP:port` to which the call was sent.
  std::string Address_;
  /// The workspace key that the call carried; empty when it carried none.
  std::string Key_;
  /// The time at which the call was sent, on the monotonic clock of the
  /// machine.
  framework::Duration SentAt_{};
  framework::Duration Latency_{};
  /// The latency minus the time that the target reported for the request.
  framework::Duration Overhead_{};
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLRECORD_H
