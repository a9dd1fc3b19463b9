#ifndef CRANBERRYSPOOL_FRAMEWORK_LOG_LOGIMPORTANCE_H
#define CRANBERRYSPOOL_FRAMEWORK_LOG_LOGIMPORTANCE_H

namespace cranberryspool::framework {

/// The priority of a log line when the byte budget of the log runs short:
/// routine lines are dropped first.
enum class LogImportance {
  /// An event of normal operation, which occurs frequently.
  Routine,
  /// An event that explains a failure or a change in the state that the process
  /// assumes others to be in.
  Significant,
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_LOG_LOGIMPORTANCE_H
