#ifndef CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H
#define CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H

#include "decision/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

/// A core with one service of two targets, driven in virtual time. The fixture
/// itself answers reads and watches of the platform, opens connections and
/// answers probes. The test answers attempts.
class CoreFixture {
public:
  explicit CoreFixture(
      framework::Duration StopGracePeriod = framework::Duration::max());

  /// Publishes the document and two warm targets and advances time until the
  /// core is ready.
  void startUp();

  /// Handles an event at the current time and returns the resulting actions.
  ActionList deliver(const Event &Input);

  /// Advances time, delivers replies and ticks when they are due, and returns
  /// the resulting actions.
  ActionList pass(framework::Duration Time);

  /// Advances time without any event, as if the process were paused.
  void pause(framework::Duration Time) {
    advanceClockTo(Now_.Monotonic_ + Time);
  }

  /// Publishes the instance list. `IsFirstLeaving` states whether the first
  /// target is leaving.
  void publishInstances(bool IsFirstLeaving);
  /// Publishes the document. `IsZoneOut` states whether the availability zone
  /// is out.
  void publishDocument(bool IsZoneOut);
  /// Publishes the document and delivers it at once.
  ActionList deliverDocument(bool IsZoneOut);
  /// Publishes the instance list and delivers it at once.
  ActionList deliverInstances(bool IsFirstLeaving);
  /// Sets whether the platform fails to answer reads and watches.
  void setPlatformDown(bool IsDown) { IsPlatformDown_ = IsDown; }

  /// Returns a call of an idempotent or a non-idempotent kind.
  static CallArrived makeCall(std::uint64_t Id, bool IsIdempotent = true);

  /// Returns a call with a deadline of 30 s.
  static CallArrived makeLongCall(std::uint64_t Id, bool IsIdempotent);

  /// Returns a target's answer to an attempt.
  static AttemptAnswered makeAnswer(const SendAttempt &Sent,
                                    std::uint32_t Status = 200);
  /// Returns the answer of a target that did not run the attempt.
  static AttemptAnswered makeNotRunAnswer(const SendAttempt &Sent);

  template <typename Kind>
  static std::vector<Kind> actionsOf(const ActionList &Actions) {
    std::vector<Kind> Found;
    for (const Action &Each : Actions)
      if (const auto *Match = std::get_if<Kind>(&Each))
        Found.push_back(*Match);
    return Found;
  }

  Core Core_;
  framework::Moment Now_{framework::Instant(std::chrono::seconds(100)),
                         framework::WallTime(std::chrono::seconds(1000000))};

private:
  void advanceClockTo(framework::Instant When);
  void scheduleReply(const Action &Each);
  void replyTo(const ReadDocument &Request);
  void replyTo(const ReadInstances &Request);
  void schedule(framework::Duration Delay, Event Reply);

  std::multimap<framework::Instant, Event> ScheduledEvents_;
  DocumentPublished Document_;
  InstancesPublished Instances_;
  bool IsPlatformDown_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H
