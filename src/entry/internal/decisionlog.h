#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_DECISIONLOG_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_DECISIONLOG_H

#include "decision/core.h"
#include "decision/types/actions/reportattempt.h"
#include "decision/types/actions/reportattemptend.h"
#include "decision/types/changekind.h"
#include "decision/types/endedcall.h"

#include <string>
#include <string_view>

namespace cranberryspool::framework {
class LogWriter;
} // namespace cranberryspool::framework

namespace cranberryspool::entry {

/// Writes a structured line for each decision that touches a request and each
/// change of what an instance believes; docs/LOGS.md lists the events.
/// Thread-safe.
class DecisionLog {
public:
  /// Writes nothing without a writer, which must outlive this.
  DecisionLog(framework::LogWriter *Writer, bool LogsRequests)
      : Writer_(Writer), IsRequestLogEnabled_(LogsRequests) {}

  /// A belief changed; `View` tells its version and age.
  void note(decision::ChangeKind Kind, const std::string &Subject,
            const decision::Core &View) const;
  void note(const decision::ReportAttempt &Decided,
            std::string_view RequestId) const;
  void note(const decision::ReportAttemptEnd &Ended,
            std::string_view RequestId) const;
  void noteEnded(const decision::EndedCall &Call, std::string_view RequestId,
                 const decision::Core &View) const;

  /// A duty of the instance failed; its supervisor decides what follows.
  void noteDutyFailed(const std::string &Duty, const char *Reason) const;
  /// The address for metrics cannot be had.
  void noteNoMetrics(const std::string &Address,
                     const std::string &Reason) const;
  /// The instance ends because a duty failed too often.
  void noteGivenUp(const std::string &Duty) const;

private:
  framework::LogWriter *Writer_;
  bool IsRequestLogEnabled_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_DECISIONLOG_H
