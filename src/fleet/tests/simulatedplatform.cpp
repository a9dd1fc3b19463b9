#include "fleet/tests/simulatedplatform.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

constexpr framework::Duration CallDelay = std::chrono::milliseconds(2);
constexpr framework::Duration PollInterval = std::chrono::milliseconds(20);
constexpr framework::Duration FailureDelay = std::chrono::milliseconds(50);

} // namespace

void SimulatedPlatform::publishDocument(framework::Revision Revision,
                                        std::string Text) {
  DocumentRevision_ = Revision;
  Text_ = std::move(Text);
}

void SimulatedPlatform::publishInstances(
    std::vector<document::PublishedInstance> Instances) {
  ListRevision_ = framework::Revision(ListRevision_.value() + 1);
  Instances_ = std::move(Instances);
}

framework::Revision SimulatedPlatform::revision(SectionKind Kind) const {
  return Kind == SectionKind::Document ? DocumentRevision_ : ListRevision_;
}

void SimulatedPlatform::read(SectionKind Kind,
                             std::optional<framework::Revision> NewerThan,
                             framework::Duration Wait,
                             std::function<bool()> IsReachable, Reply Done) {
  ++Calls_;
  Clock_.scheduleAfter(CallDelay, [=, this] {
    poll(Kind, NewerThan, Clock_.now() + Wait, IsReachable, Done);
  });
}

void SimulatedPlatform::poll(SectionKind Kind,
                             std::optional<framework::Revision> NewerThan,
                             framework::Instant Until,
                             const std::function<bool()> &IsReachable,
                             const Reply &Done) {
  if (IsDown_ || !IsReachable()) {
    Clock_.scheduleAfter(FailureDelay, [Done] { Done(Answer::Unavailable); });
    return;
  }
  const bool IsNewer = !NewerThan || revision(Kind) > *NewerThan;
  if (IsNewer || Clock_.now() >= Until) {
    const Answer Outcome = IsNewer ? Answer::Value : Answer::Unchanged;
    Done(Outcome);
    return;
  }
  Clock_.scheduleAfter(PollInterval, [=, this] {
    poll(Kind, NewerThan, Until, IsReachable, Done);
  });
}

} // namespace cranberryspool::fleet
