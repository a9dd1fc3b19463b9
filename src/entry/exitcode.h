#ifndef CRANBERRYSPOOL_ENTRY_EXITCODE_H
#define CRANBERRYSPOOL_ENTRY_EXITCODE_H

namespace cranberryspool::entry {

/// How the daemon ends.
enum class ExitCode : int {
  /// Stopped as asked; every accepted call was answered.
  Stopped = 0,
  /// The command line or the settings are wrong.
  BadSettings = 2,
  /// An address cannot be listened on.
  CannotListen = 3,
  /// A duty failed more often than it may be restarted.
  DutyFailed = 4,
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_EXITCODE_H
