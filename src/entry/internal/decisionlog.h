#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_DECISIONLOG_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_DECISIONLOG_H

#include "decision/core.h"
#include "decision/types/actions/refusecall.h"
#include "decision/types/actions/reportattempt.h"
#include "decision/types/actions/reportattemptend.h"
#include "decision/types/changekind.h"
#include "decision/types/endedcall.h"
#include "entry/types/refusedrequest.h"

#include <string>
#include <string_view>

namespace cranberryspool::framework {
class LogWriter;
} // namespace cranberryspool::framework

namespace cranberryspool::entry {

/// Writes a structured log line for each decision about a request and for each
/// change of the instance's view of documents, targets and peers. docs/LOGS.md
/// lists the events. Thread-safe.
class DecisionLog {
public:
  /// The writer must outlive the log; when it is null, nothing is logged.
  DecisionLog(framework::LogWriter *Writer, bool IsRequestLogEnabled)
      : Writer_(Writer), IsRequestLogEnabled_(IsRequestLogEnabled) {}

  bool isRequestLogEnabled() const { return IsRequestLogEnabled_; }

  /// Logs a change of the view, whose version and age are read from `View`.
  void log(const decision::ReportChange &Change,
           const decision::Core &View) const;
  void log(const decision::ReportAttempt &Report,
           std::string_view RequestId) const;
  /// Logs the end of an attempt with what the store has last stated.
  void log(const decision::ReportAttemptEnd &Ended, std::string_view RequestId,
           const decision::Core &View) const;
  void logCallEnd(const decision::EndedCall &Call, std::string_view RequestId,
                  const decision::Core &View) const;

  /// Logs that a call was refused before it was accepted. Only refusals with
  /// status 401, 429 or 503 are logged.
  void logRefusal(const decision::RefuseCall &Refusal,
                  std::string_view RequestId, const decision::Core &View) const;
  /// Logs a request that a caller's connection has refused.
  void logRefusal(const RefusedRequest &Refusal,
                  const decision::Core &View) const;

  /// Logs the failure of a worker; its supervisor decides whether it is
  /// restarted.
  void logWorkerFailure(const std::string &Worker, const char *Reason) const;
  /// Logs that the metrics endpoint cannot be bound.
  void logMetricsUnavailable(const std::string &Address,
                             const std::string &Reason) const;
  /// Logs that the instance ends because a worker reached its restart limit.
  void logRestartLimitReached(const std::string &Worker) const;

private:
  void writeRefusal(std::string_view RequestId, std::string_view Ending,
                    std::string_view Reason, unsigned Status,
                    const decision::Core &View) const;

  framework::LogWriter *Writer_;
  bool IsRequestLogEnabled_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_DECISIONLOG_H
