#ifndef CRANBERRYSPOOL_DECISION_TESTS_RANDOMSIMULATION_H
#define CRANBERRYSPOOL_DECISION_TESTS_RANDOMSIMULATION_H

#include "decision/core.h"
#include "framework/random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::decision {

/// Simulates callers, targets and a platform that act at random on one core,
/// and checks the actions of the core against safety rules.
class RandomSimulation {
public:
  explicit RandomSimulation(std::uint64_t Seed);

  /// Starts the core and performs the given number of random actions.
  void run(std::uint32_t Steps);
  /// Stops the core and checks that all calls end.
  void finish();

  /// The violated rules, each with its time.
  const std::vector<std::string> &violations() const { return Violations_; }
  const CoreCounters &counters() const { return Core_.counters(); }

private:
  struct SimulatedCall {
    bool IsIdempotent_ = true;
    bool HasEnded_ = false;
    std::vector<framework::AttemptId> Attempts_{};
  };
  struct SimulatedAttempt {
    SendAttempt Sent_;
    bool HasEnded_ = false;
    bool MayHaveRun_ = true;
    bool HasCompleteAnswer_ = false;
  };
  struct SimulatedConnection {
    framework::TargetId Target_;
    std::string Address_;
    bool IsOpen_ = false;
    std::optional<framework::AttemptId> CurrentAttempt_{};
  };

  void deliver(const Event &Input);
  void pass(framework::Duration Time);
  void advanceClockTo(framework::Instant When);
  void schedule(framework::Duration Delay, Event Reply);
  void performRandomAction();
  void startRandomCalls();
  void endRandomAttempt();
  void answer(framework::AttemptId Id);
  void fail(framework::AttemptId Id);
  void sendLateAnswer();
  void disconnectRandomCaller();
  void closeIdleConnection();
  void publishRandomChange();

  void check(bool IsSatisfied, const std::string &Rule);
  void handleAction(const Action &Each);
  void handle(const OpenConnection &Action);
  void handle(const CloseConnection &Action);
  void handle(const SendAttempt &Action);
  void handle(const AnswerCall &Action);
  void handle(const RefuseCall &Action);
  void handle(const ReplayKeptAnswer &Action);
  void handle(const FetchKeptAnswer &Action);
  void handle(const ReadDocument &Action);
  void handle(const ReadInstances &Action);
  void handle(const ProbeTarget &Action);
  void handle(const FinishStop &Action);
  template <typename Other> void handle(const Other &) {}
  void recordCallEnd(framework::CallId Id);
  std::string documentText(std::uint64_t Revision) const;
  std::vector<document::PublishedInstance>
  instanceList(std::uint64_t Revision) const;
  bool acceptsWork(const std::string &Address) const;
  framework::Duration randomDelay();
  bool randomChance(double Probability) {
    return Rng_.fraction() < Probability;
  }

  framework::Random Rng_;
  Core Core_;
  framework::Moment Now_;
  std::multimap<framework::Instant, Event> ScheduledEvents_;
  std::map<framework::CallId, SimulatedCall> Calls_;
  std::map<framework::AttemptId, SimulatedAttempt> Attempts_;
  std::map<framework::ConnectionId, SimulatedConnection> Connections_;
  std::set<framework::CallId> FetchedAnswers_;
  std::vector<std::string> Violations_;
  std::uint64_t LastCallId_ = 0;
  std::uint64_t DocumentRevision_ = 1;
  std::uint64_t ListRevision_ = 1;
  std::uint64_t DeliveredDocumentRevision_ = 0;
  std::uint64_t DeliveredListRevision_ = 0;
  bool IsPlatformDown_ = false;
  bool HasStopped_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TESTS_RANDOMSIMULATION_H
