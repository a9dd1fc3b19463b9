#ifndef CRANBERRYSPOOL_ADMISSION_TYPES_REFUSALREASON_H
#define CRANBERRYSPOOL_ADMISSION_TYPES_REFUSALREASON_H

namespace cranberryspool::admission {

/// The reason why a call is refused. A refused call has not run.
enum class RefusalReason {
  QueueFull,
  /// The expected queueing time leaves too little time to run the call.
  DeadlineTooShort,
  /// The service is unknown, because no capacity has been set for it.
  UnknownService,
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_TYPES_REFUSALREASON_H
