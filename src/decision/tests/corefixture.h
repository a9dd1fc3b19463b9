#ifndef CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H
#define CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H

#include "decision/core.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

/// A core with one service of two targets, driven in virtual time.
class CoreFixture {
public:
  CoreFixture()
      : Core_(CoreSettings{.Self_ = framework::InstanceName("entry-1"),
                           .Incarnation_ = framework::Incarnation(1),
                           .Zone_ = framework::ZoneName("ikeja")},
              framework::Random(1)) {}

  /// Handles an event now and returns the actions that follow.
  ActionList tell(const Event &Input) {
    ActionList Output;
    Core_.handle(Now_, Input, Output);
    for (const Action &Asked : Output)
      if (const auto *Open = std::get_if<OpenConnection>(&Asked))
        Opening_.push_back(Open->Connection_);
    return Output;
  }

  /// Lets time pass, with a `Tick` whenever the core asks for one. Connections
  /// open as they are asked for.
  ActionList pass(framework::Duration Time) {
    ActionList Output;
    const framework::Instant End = Now_.Monotonic_ + Time;
    while (Core_.nextWakeUp() < End) {
      moveTo(std::max(Now_.Monotonic_, Core_.nextWakeUp()));
      append(Output, tell(Tick{}));
      append(Output, openAll());
    }
    moveTo(End);
    append(Output, tell(Tick{}));
    return Output;
  }

  /// Opens all connections that the core has asked for.
  ActionList openAll() {
    ActionList Output;
    const auto Opening = std::exchange(Opening_, {});
    for (const framework::ConnectionId Id : Opening)
      append(Output, tell(ConnectionOpened{Id, std::chrono::milliseconds(1)}));
    return Output;
  }

  /// Publishes the document and two warm targets.
  void startUp();

  /// A call of the kind that may run twice, or of the one that must not.
  CallArrived call(std::uint64_t Id, bool IsIdempotent = true) const;

  /// The answer that a target gives to an attempt that was sent.
  AttemptAnswered answerTo(const SendAttempt &Sent) const {
    return AttemptAnswered{.Attempt_ = Sent.Attempt_,
                           .Connection_ = Sent.Connection_,
                           .EchoedAttempt_ = Sent.Attempt_,
                           .Status_ = 200,
                           .Report_ = routing::LoadReport{},
                           .StartId_ = framework::Incarnation(1)};
  }

  template <typename Kind>
  static std::vector<Kind> only(const ActionList &Actions) {
    std::vector<Kind> Found;
    for (const Action &Asked : Actions)
      if (const auto *Match = std::get_if<Kind>(&Asked))
        Found.push_back(*Match);
    return Found;
  }

  static void append(ActionList &To, const ActionList &From) {
    To.insert(To.end(), From.begin(), From.end());
  }

  void moveTo(framework::Instant When) {
    Now_.Wall_ += When - Now_.Monotonic_;
    Now_.Monotonic_ = When;
  }

  Core Core_;
  framework::Moment Now_{framework::Instant(std::chrono::seconds(100)),
                         framework::WallTime(std::chrono::seconds(1000000))};
  std::vector<framework::ConnectionId> Opening_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TESTS_COREFIXTURE_H
