#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_EFFECTIVECALLERLIMITS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_EFFECTIVECALLERLIMITS_H

#include "document/types/callerlimits.h"
#include "entry/types/entrylimits.h"

#include <algorithm>
#include <atomic>

namespace cranberryspool::entry {

/// The limits that apply to callers now: those of the instance's settings, or
/// those of the document in force. A document can lower the size limits of the
/// settings but not raise them. Thread-safe.
class EffectiveCallerLimits {
public:
  explicit EffectiveCallerLimits(const EntryLimits &Settings)
      : MaxHeadBytes_(Settings.HeadBytes_), MaxBodyBytes_(Settings.BodyBytes_),
        HeadBytes_(Settings.HeadBytes_), BodyBytes_(Settings.BodyBytes_),
        HeadTimeout_(Settings.HeadTimeout_.count()),
        IdleTimeout_(Settings.IdleTimeout_.count()) {}

  void set(const document::CallerLimits &Document) {
    HeadBytes_ = std::min(MaxHeadBytes_, Document.HeadBytes_);
    BodyBytes_ = std::min(MaxBodyBytes_, Document.BodyBytes_);
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
  const std::size_t MaxHeadBytes_;
  const std::size_t MaxBodyBytes_;
  std::atomic<std::size_t> HeadBytes_;
  std::atomic<std::size_t> BodyBytes_;
  std::atomic<framework::Duration::rep> HeadTimeout_;
  std::atomic<framework::Duration::rep> IdleTimeout_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_EFFECTIVECALLERLIMITS_H
