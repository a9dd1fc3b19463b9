#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_REFUSALREASON_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_REFUSALREASON_H

namespace cranberryspool::admission {

/// Why a call is not queued. It did not run.
enum class RefusalReason {
  QueueFull,
  /// The wait to be expected leaves no time to run.
  DeadlineTooShort,
  /// No limits are set for the service: it is unknown.
  UnknownService,
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_REFUSALREASON_H
