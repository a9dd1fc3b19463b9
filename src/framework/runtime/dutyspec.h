#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_DUTYSPEC_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_DUTYSPEC_H

#include <functional>
#include <stop_token>
#include <string>

namespace cranberryspool::framework {

/// A duty: one thread with one job.
struct DutySpec {
  std::string Name_;
  /// Does the work until the token asks for a stop. Called again, on a thread
  /// of the same name, when the duty is restarted. Throwing, or returning
  /// before a stop was asked for, is a failure of the duty.
  std::function<void(std::stop_token)> Run_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_DUTYSPEC_H
