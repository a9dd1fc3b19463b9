#include "framework/runtime/supervisor.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <stdexcept>

using namespace cranberryspool::framework;

namespace {

/// Counts what a supervisor reports, and lets a test wait for it.
class Reports {
public:
  void noteFailure() {
    const std::lock_guard Guard(Lock_);
    ++Failures_;
    Changed_.notify_all();
  }
  void noteGivenUp() {
    const std::lock_guard Guard(Lock_);
    HasGivenUp_ = true;
    Changed_.notify_all();
  }
  void awaitGivenUp() {
    std::unique_lock Guard(Lock_);
    Changed_.wait(Guard, [this] { return HasGivenUp_; });
  }
  void awaitFailures(int Count) {
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
  std::condition_variable_any Stopped;
  std::unique_lock Guard(Lock);
  Stopped.wait(Guard, Token, [] { return false; });
}

} // namespace

TEST_CASE("a failed duty is restarted until the limit", "[framework]") {
  Reports Seen;
  std::atomic<int> Runs = 0;
  Supervisor Tree(
      RestartLimit{2, std::chrono::hours(1)},
      [&Seen](const std::string &, const char *) { Seen.noteFailure(); },
      [&Seen](const std::string &) { Seen.noteGivenUp(); });
  Tree.start({"broken", [&Runs](const std::stop_token &) {
                ++Runs;
                throw std::runtime_error("broken");
              }});
  Seen.awaitGivenUp();
  Tree.stop();
  CHECK(Runs == 3);
  CHECK(Seen.failures() == 3);
}

TEST_CASE("a duty that ends unasked has failed", "[framework]") {
  Reports Seen;
  Supervisor Tree(
      RestartLimit{0, std::chrono::hours(1)},
      [&Seen](const std::string &, const char *) { Seen.noteFailure(); },
      [&Seen](const std::string &) { Seen.noteGivenUp(); });
  Tree.start({"short", [](const std::stop_token &) {}});
  Seen.awaitGivenUp();
  CHECK(Seen.failures() == 1);
}

TEST_CASE("the failure of one duty leaves the others alone", "[framework]") {
  Reports Seen;
  std::atomic<int> SteadyRuns = 0;
  std::atomic<int> ShakyRuns = 0;
  Supervisor Tree(
      RestartLimit{5, std::chrono::hours(1)},
      [&Seen](const std::string &, const char *) { Seen.noteFailure(); },
      [&Seen](const std::string &) { Seen.noteGivenUp(); });
  Tree.start({"steady", [&SteadyRuns](const std::stop_token &Token) {
                ++SteadyRuns;
                waitForStop(Token);
              }});
  Tree.start({"shaky", [&ShakyRuns](const std::stop_token &Token) {
                if (++ShakyRuns < 3)
                  throw std::runtime_error("shaky");
                waitForStop(Token);
              }});
  Seen.awaitFailures(2);
  Tree.stop();
  CHECK(SteadyRuns <= 1);
  CHECK_FALSE(Seen.hasGivenUp());
}
