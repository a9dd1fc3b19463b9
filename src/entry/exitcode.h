#ifndef CRANBERRYSPOOL_ENTRY_EXITCODE_H
#define CRANBERRYSPOOL_ENTRY_EXITCODE_H

namespace cranberryspool::entry {

/// The exit code of the daemon.
enum class ExitCode : int {
  /// Stopped on request, after every accepted call was answered.
  Stopped = 0,
  /// The command line or the settings are invalid.
  BadSettings = 2,
  /// A listening address cannot be bound.
  CannotListen = 3,
  /// A worker failed more often than its restart limit allows.
  WorkerFailed = 4,
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_EXITCODE_H
