#include "framework/runtime/supervisor.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <stdexcept>

using namespace cranberryspool::framework;

namespace {

/// Counts the failures that a supervisor reports and whether it has given up,
/// and lets a test wait for either.
class SupervisorObserver {
public:
  void recordFailure() {
    const std::lock_guard Guard(Lock_);
    ++Failures_;
    Changed_.notify_all();
  }
  void recordGiveUp() {
    const std::lock_guard Guard(Lock_);
    HasGivenUp_ = true;
    Changed_.notify_all();
  }
  void waitForGiveUp() {
    std::unique_lock Guard(Lock_);
    Changed_.wait(Guard, [this] { return HasGivenUp_; });
  }
  void waitForFailures(int Count) {
    std::unique_lock Guard(Lock_);
    Changed_.wait(Guard, [this, Count] { return Failures_ >= Count; });
  }
  int failures() {
    const std::lock_guard Guard(Lock_);
    return Failures_;
  }
  bool hasGivenUp() {
    const std::lock_guard Guard(Lock_);
    return HasGivenUp_;
  }

private:
  std::mutex Lock_;
  std::condition_variable Changed_;
  int Failures_ = 0;
  bool HasGivenUp_ = false;
};

void waitForStop(const std::stop_token &Token) {
  std::mutex Lock;
  std::condition_variable_any StopCondition;
  std::unique_lock Guard(Lock);
  StopCondition.wait(Guard, Token, [] { return false; });
}

} // namespace

TEST_CASE("a failed worker is restarted until the limit is reached",
          "[framework]") {
  SupervisorObserver Observer;
  std::atomic<int> Runs = 0;
  Supervisor TestSupervisor(
      RestartLimit{2, std::chrono::hours(1)},
      [&Observer](const std::string &, const char *) {
        Observer.recordFailure();
      },
      [&Observer](const std::string &) { Observer.recordGiveUp(); });
  TestSupervisor.start({"failing", [&Runs](const std::stop_token &) {
                          ++Runs;
                          throw std::runtime_error("failing");
                        }});
  Observer.waitForGiveUp();
  TestSupervisor.stop();
  CHECK(Runs == 3);
  CHECK(Observer.failures() == 3);
}

TEST_CASE("a worker that returns before a stop was requested has failed",
          "[framework]") {
  SupervisorObserver Observer;
  Supervisor TestSupervisor(
      RestartLimit{0, std::chrono::hours(1)},
      [&Observer](const std::string &, const char *) {
        Observer.recordFailure();
      },
      [&Observer](const std::string &) { Observer.recordGiveUp(); });
  TestSupervisor.start({"returning", [](const std::stop_token &) {}});
  Observer.waitForGiveUp();
  CHECK(Observer.failures() == 1);
}

TEST_CASE("the failure of one worker does not affect the others",
          "[framework]") {
  SupervisorObserver Observer;
  std::atomic<int> HealthyRuns = 0;
  std::atomic<int> FailingRuns = 0;
  Supervisor TestSupervisor(
      RestartLimit{5, std::chrono::hours(1)},
      [&Observer](const std::string &, const char *) {
        Observer.recordFailure();
      },
      [&Observer](const std::string &) { Observer.recordGiveUp(); });
  TestSupervisor.start(
      {"healthy", [&HealthyRuns](const std::stop_token &Token) {
         ++HealthyRuns;
         waitForStop(Token);
       }});
  TestSupervisor.start(
      {"failing", [&FailingRuns](const std::stop_token &Token) {
         if (++FailingRuns < 3)
           throw std::runtime_error("failing");
         waitForStop(Token);
       }});
  Observer.waitForFailures(2);
  TestSupervisor.stop();
  CHECK(HealthyRuns <= 1);
  CHECK_FALSE(Observer.hasGivenUp());
}
