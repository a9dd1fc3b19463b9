#ifndef CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H
#define CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H

#include "decision/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

/// A core with one service of two targets, driven in virtual time. The platform
/// answers reads and watches, connections open and probes are answered, all by
/// themselves; attempts are left to the test.
class CoreFixture {
public:
  CoreFixture();

  /// Publishes the document and two warm targets and waits for the core to be
  /// ready.
  void startUp();

  /// Handles an event now and returns the actions that follow.
  ActionList tell(const Event &Input);

  /// Lets time pass, with a `Tick` whenever the core asks for one.
  ActionList pass(framework::Duration Time);

  /// Lets time pass without any event: the process is paused.
  void pause(framework::Duration Time) { moveTo(Now_.Monotonic_ + Time); }

  /// Publishes the list, with the first target leaving or not.
  void publishInstances(bool IsFirstLeaving);
  /// Publishes the document, with the availability zone out or not.
  void publishDocument(bool IsZoneOut);
  /// Publishes the document and tells it at once.
  ActionList tellDocument(bool IsZoneOut);
  /// Publishes the list and tells it at once.
  ActionList tellInstances(bool IsFirstLeaving);
  /// The platform does not answer from now on, or does again.
  void setPlatformDown(bool IsDown) { IsPlatformDown_ = IsDown; }

  /// A call of the kind that may run twice, or of the one that must not.
  static CallArrived call(std::uint64_t Id, bool IsIdempotent = true);

  /// The answer that a target gives to an attempt that was sent.
  static AttemptAnswered answerTo(const SendAttempt &Sent,
                                  std::uint32_t Status = 200);
  /// The answer of a target that did not run the attempt.
  static AttemptAnswered notRunAnswerTo(const SendAttempt &Sent);

  template <typename Kind>
  static std::vector<Kind> only(const ActionList &Actions) {
    std::vector<Kind> Found;
    for (const Action &Asked : Actions)
      if (const auto *Match = std::get_if<Kind>(&Asked))
        Found.push_back(*Match);
    return Found;
  }

  Core Core_;
  framework::Moment Now_{framework::Instant(std::chrono::seconds(100)),
                         framework::WallTime(std::chrono::seconds(1000000))};

private:
  void moveTo(framework::Instant When);
  void reply(const Action &Asked);
  void replyTo(const ReadDocument &Asked);
  void replyTo(const ReadInstances &Asked);
  void schedule(framework::Duration Delay, Event Reply);

  std::multimap<framework::Instant, Event> Scheduled_;
  DocumentPublished Document_;
  InstancesPublished Instances_;
  bool IsPlatformDown_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H
