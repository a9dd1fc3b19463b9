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

/// Callers, targets and a platform that do anything at any time to one core,
/// and check what it does.
class RandomWorld {
public:
  explicit RandomWorld(std::uint64_t Seed);

  /// Starts the core and does `Steps` random things.
  void run(std::uint32_t Steps);
  /// Stops the core: everything must end.
  void finish();

  /// What the core did wrong, with the time.
  const std::vector<std::string> &faults() const { return Faults_; }
  const CoreCounters &counters() const { return Core_.counters(); }

private:
  struct WorldCall {
    bool IsIdempotent_ = true;
    bool HasEnded_ = false;
    std::vector<framework::AttemptId> Attempts_{};
  };
  struct WorldAttempt {
    SendAttempt Sent_;
    bool IsOver_ = false;
    bool MayHaveRun_ = true;
    bool WasAnsweredWhole_ = false;
  };
  struct WorldConnection {
    framework::TargetId Target_;
    std::string Address_;
    bool IsOpen_ = false;
    std::optional<framework::AttemptId> Carries_{};
  };

  void tell(const Event &Input);
  void pass(framework::Duration Time);
  void moveTo(framework::Instant When);
  void schedule(framework::Duration Delay, Event Reply);
  void doSomething();
  void bringCall();
  void endAttempt();
  void answer(framework::AttemptId Id);
  void fail(framework::AttemptId Id);
  void answerLate();
  void loseCaller();
  void closeIdle();
  void publish();

  void check(bool IsRight, const std::string &Rule);
  void see(const Action &Asked);
  void take(const OpenConnection &Asked);
  void take(const CloseConnection &Asked);
  void take(const SendAttempt &Asked);
  void take(const AnswerCall &Asked);
  void take(const RefuseCall &Asked);
  void take(const ReplayKeptAnswer &Asked);
  void take(const FetchKeptAnswer &Asked);
  void take(const ReadDocument &Asked);
  void take(const ReadInstances &Asked);
  void take(const ProbeTarget &Asked);
  void take(const FinishStop &Asked);
  template <typename Other> void take(const Other &) {}
  void endCall(framework::CallId Id);
  std::string documentText(std::uint64_t Revision) const;
  std::vector<document::PublishedInstance> list(std::uint64_t Revision) const;
  bool takesWork(const std::string &Address) const;
  framework::Duration anyDelay();
  bool chance(double Share) { return Rng_.fraction() < Share; }

  framework::Random Rng_;
  Core Core_;
  framework::Moment Now_;
  std::multimap<framework::Instant, Event> Scheduled_;
  std::map<framework::CallId, WorldCall> Calls_;
  std::map<framework::AttemptId, WorldAttempt> Attempts_;
  std::map<framework::ConnectionId, WorldConnection> Connections_;
  std::set<framework::CallId> Replayable_;
  std::vector<std::string> Faults_;
  std::uint64_t LastCall_ = 0;
  std::uint64_t DocumentRevision_ = 1;
  std::uint64_t ListRevision_ = 1;
  std::uint64_t SeenDocument_ = 0;
  std::uint64_t SeenList_ = 0;
  bool IsPlatformDown_ = false;
  bool IsStopped_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TESTS_RANDOMSIMULATION_H
