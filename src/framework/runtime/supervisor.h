#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_SUPERVISOR_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_SUPERVISOR_H

#include "framework/runtime/dutyspec.h"
#include "framework/runtime/restartlimit.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberryspool::framework {

/// Runs duties, each on its own thread, and restarts those that fail. When they
/// fail more often than the limit allows it gives up and tells its parent; a
/// tree is built by having a parent as the receiver.
class Supervisor {
public:
  /// Receives the name of the duty whose failure was one too many. Called on
  /// that duty's thread; must not call `stop`.
  using GiveUpHandler = std::function<void(const std::string &DutyName)>;
  /// Receives the duty and the reason of each failure.
  using FailureHandler =
      std::function<void(const std::string &DutyName, const char *Reason)>;

  Supervisor(RestartLimit Limit, FailureHandler OnFailure,
             GiveUpHandler OnGiveUp);
  ~Supervisor();

  Supervisor(const Supervisor &) = delete;
  Supervisor &operator=(const Supervisor &) = delete;

  void start(DutySpec Duty);

  /// Stops all duties in the reverse order of their start and waits for them.
  void stop();

private:
  void superviseDuty(const DutySpec &Duty, const std::stop_token &Token);
  bool mayRestart();

  const RestartLimit Limit_;
  const FailureHandler OnFailure_;
  const GiveUpHandler OnGiveUp_;
  std::mutex FailuresLock_;
  std::deque<Instant> Failures_;
  std::vector<std::jthread> Threads_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_SUPERVISOR_H
