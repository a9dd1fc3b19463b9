#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_WORKERSPEC_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_WORKERSPEC_H

#include <functional>
#include <stop_token>
#include <string>

namespace cranberryspool::framework {

/// Describes a worker: a named function that a `Supervisor` runs on a thread of
/// its own.
struct WorkerSpec {
  std::string Name_;
  /// Runs until the token requests a stop. Called again, on the same thread,
  /// when the worker is restarted. Throwing an exception, or returning before
  /// a stop was requested, is a failure of the worker.
  std::function<void(std::stop_token)> Run_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_WORKERSPEC_H
