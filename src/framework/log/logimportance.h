#ifndef CRANBERRYSPOOL_FRAMEWORK_LOG_LOGIMPORTANCE_H
#define CRANBERRYSPOOL_FRAMEWORK_LOG_LOGIMPORTANCE_H

namespace cranberryspool::framework {

/// Which lines go first when the log's byte budget runs short.
enum class LogImportance {
  /// What happens all the time when all is well.
  Routine,
  /// What explains a failure or a change of belief.
  Significant,
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_LOG_LOGIMPORTANCE_H
