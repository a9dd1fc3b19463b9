#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERLIMITSNOW_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERLIMITSNOW_H

#include "document/types/callerlimits.h"
#include "entry/types/entrylimits.h"

#include <algorithm>
#include <atomic>

namespace cranberryspool::entry {

/// The limits of what callers may send: the instance's own, or those of the
/// document in force as far as the instance can bear them. Thread-safe.
class CallerLimitsNow {
public:
  explicit CallerLimitsNow(const EntryLimits &Own)
      : OwnHead_(Own.HeadBytes_), OwnBody_(Own.BodyBytes_),
        HeadBytes_(Own.HeadBytes_), BodyBytes_(Own.BodyBytes_),
        HeadTimeout_(Own.HeadTimeout_.count()),
        IdleTimeout_(Own.IdleTimeout_.count()) {}

  void set(const document::CallerLimits &Document) {
    HeadBytes_ = std::min(OwnHead_, Document.HeadBytes_);
    BodyBytes_ = std::min(OwnBody_, Document.BodyBytes_);
    HeadTimeout_ = Document.HeadTimeout_.count();
    IdleTimeout_ = Document.IdleTimeout_.count();
  }

  std::size_t headBytes() const { return HeadBytes_; }
  std::size_t bodyBytes() const { return BodyBytes_; }
  framework::Duration headTimeout() const {
    return framework::Duration(HeadTimeout_);
  }
  framework::Duration idleTimeout() const {
    return framework::Duration(IdleTimeout_);
  }

private:
  const std::size_t OwnHead_;
  const std::size_t OwnBody_;
  std::atomic<std::size_t> HeadBytes_;
  std::atomic<std::size_t> BodyBytes_;
  std::atomic<framework::Duration::rep> HeadTimeout_;
  std::atomic<framework::Duration::rep> IdleTimeout_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERLIMITSNOW_H
