#ifndef CRANBERRYSPOOL_STANDINS_CALLRECORD_H
#define CRANBERRYSPOOL_STANDINS_CALLRECORD_H

#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryspool::standins {

/// What a caller saw of one call.
struct CallRecord {
  std::string Call_;
  std::size_t Stream_ = 0;
  /// The phase in which the call began, and that in which it ended.
  std::size_t Phase_ = 0;
  std::size_t EndPhase_ = 0;
  /// `answered`, `not-run`, `unknown`, `deadline`, `no-connection`, `cut` (the
  /// connection ended without a whole answer), `timeout` (nothing came in
  /// time), `wrong` (the answer was for another call) or `status-N` (no ending
  /// header).
  std::string Ending_;
  std::string Reason_;
  unsigned Status_ = 0;
  /// `IP:port` that was called.
  std::string Address_;
  framework::Duration Latency_{};
  /// The part of the latency that the target did not account for.
  framework::Duration Overhead_{};
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLRECORD_H
