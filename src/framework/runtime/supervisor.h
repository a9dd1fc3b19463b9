#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_SUPERVISOR_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_SUPERVISOR_H

#include "framework/runtime/restartlimit.h"
#include "framework/runtime/workerspec.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace cranberryspool::framework {

/// Runs workers, each on its own thread, and restarts those that fail. When
/// they fail more often than the limit allows, the supervisor gives up and
/// calls its `GiveUpHandler`. Supervisors form a tree when that handler belongs
/// to a parent supervisor.
class Supervisor {
public:
  /// Receives the name of the worker whose failure exceeded the restart limit.
  /// Called on the thread of that worker; must not call `stop`, which would
  /// wait for this very thread.
  using GiveUpHandler = std::function<void(const std::string &WorkerName)>;
  /// Receives the name of the worker and the reason of each failure.
  using FailureHandler =
      std::function<void(const std::string &WorkerName, const char *Reason)>;

  Supervisor(RestartLimit Limit, FailureHandler OnFailure,
             GiveUpHandler OnGiveUp);
  ~Supervisor();

  Supervisor(const Supervisor &) = delete;
  Supervisor &operator=(const Supervisor &) = delete;

  void start(WorkerSpec Worker);

  /// Stops all workers in the reverse order of their start and waits for them.
  void stop();

private:
  void superviseWorker(const WorkerSpec &Worker, const std::stop_token &Token);
  /// Records a failure and returns whether the limit allows a restart.
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
