#include "entry/internal/decisionlog.h"

#include "calls/endingnames.h"
#include "calls/fingerprinttext.h"
#include "decision/changenames.h"
#include "entry/internal/endingstatus.h"
#include "framework/log/logline.h"
#include "framework/log/logwriter.h"

#include <algorithm>

namespace cranberryspool::entry {

using framework::LogImportance;
using framework::LogLine;

namespace {

std::string_view nameOf(calls::AttemptKind Kind) {
  switch (Kind) {
  case calls::AttemptKind::First:
    return "first";
  case calls::AttemptKind::Retry:
    return "retry";
  case calls::AttemptKind::Hedge:
    return "hedge";
  case calls::AttemptKind::Forward:
    return "forward";
  }
  return "other";
}

std::string_view nameOf(routing::AttemptResult Result) {
  switch (Result) {
  case routing::AttemptResult::Answered:
    return "answered";
  case routing::AttemptResult::ServerError:
    return "server-error";
  case routing::AttemptResult::NotRun:
    return "not-run";
  case routing::AttemptResult::ConnectionFailed:
    return "connection-failed";
  case routing::AttemptResult::NotConnected:
    return "not-connected";
  case routing::AttemptResult::ConnectionSilent:
    return "connection-silent";
  case routing::AttemptResult::TimedOut:
    return "timed-out";
  case routing::AttemptResult::Cancelled:
    return "cancelled";
  }
  return "other";
}

std::string_view nameOf(calls::AttemptFailure Failure) {
  switch (Failure) {
  case calls::AttemptFailure::ConnectionClosed:
    return "connection-closed";
  case calls::AttemptFailure::ConnectionReset:
    return "connection-reset";
  case calls::AttemptFailure::Truncated:
    return "truncated";
  case calls::AttemptFailure::Malformed:
    return "malformed";
  case calls::AttemptFailure::AnswerTooLarge:
    return "answer-too-large";
  }
  return "other";
}

/// Adds the revision that the own store has last stated.
void addStatement(LogLine &Line, const decision::ViewStatus &Status) {
  if (Status.Store_)
    Line.number("store_revision",
                static_cast<std::int64_t>(Status.Store_->Revision_.value()));
}

/// Adds the version and the age of the view on which a decision was based.
void addView(LogLine &Line, const decision::Core &View) {
  const decision::ViewStatus Status = View.view();
  Line.number("version", static_cast<std::int64_t>(Status.Document_.value()));
  Line.number("revision", static_cast<std::int64_t>(Status.Revision_.value()));
  if (Status.Age_ == framework::Duration::max())
    Line.unknown("view_age_ms");
  else
    Line.millis("view_age_ms", Status.Age_);
  addStatement(Line, Status);
  if (Status.Store_)
    Line.millis("store_age_ms", Status.Store_->Age_);
  if (Status.DocumentRecord_ != framework::Revision())
    Line.number("version_revision",
                static_cast<std::int64_t>(Status.DocumentRecord_.value()));
}

/// Adds the document by which a request was decided. It stands before the other
/// fields, so that the beginning of a line shows it.
void addOrigin(LogLine &Line,
               const std::shared_ptr<const calls::DocumentOrigin> &DecidedBy) {
  if (!DecidedBy)
    return;
  Line.number("decided_version",
              static_cast<std::int64_t>(DecidedBy->Version_.value()));
  if (!DecidedBy->Source_.empty())
    Line.text("source", DecidedBy->Source_);
  if (DecidedBy->RecordRevision_ != framework::Revision())
    Line.number("decided_revision",
                static_cast<std::int64_t>(DecidedBy->RecordRevision_.value()));
}

} // namespace

void DecisionLog::log(const decision::ReportChange &Change,
                      const decision::Core &View) const {
  if (!Writer_)
    return;
  LogLine Line(decision::nameOf(Change.Kind_), LogImportance::Significant);
  Line.text("subject", Change.Subject_);
  if (Change.RequestLimit_)
    Line.number("limit_millihertz", Change.RequestLimit_->Millihertz_);
  if (!Change.Source_.empty())
    Line.text("source", Change.Source_);
  if (Change.Announced_)
    Line.number("announced_revision",
                static_cast<std::int64_t>(Change.Announced_->value()));
  if (Change.Elapsed_)
    Line.millis("elapsed_ms", *Change.Elapsed_);
  addView(Line, View);
  Writer_->write(Line);
}

void DecisionLog::log(const decision::ReportAttempt &Report,
                      std::string_view RequestId) const {
  if (!Writer_ || !IsRequestLogEnabled_)
    return;
  const bool IsFirst = Report.Kind_ == calls::AttemptKind::First;
  const auto Importance =
      IsFirst ? LogImportance::Routine : LogImportance::Significant;
  LogLine Line = Report.IsSent_ ? LogLine("attempt-sent", Importance)
                                : LogLine("attempt-waiting", Importance);
  Line.text("request", RequestId);
  addOrigin(Line, Report.DecidedBy_);
  Line.number("attempt", static_cast<std::int64_t>(Report.Attempt_.value()));
  Line.text("kind", nameOf(Report.Kind_));
  Line.number("sent", Report.SentAttempts_);
  Line.number("max_attempts", Report.MaxAttempts_);
  if (Report.Previous_)
    Line.text("previous", nameOf(*Report.Previous_));
  if (Report.Budget_) {
    Line.number("budget_used",
                static_cast<std::int64_t>(Report.Budget_->Extras_));
    Line.number("budget_calls",
                static_cast<std::int64_t>(Report.Budget_->Calls_));
    Line.number("budget_slack_thousandths",
                static_cast<std::int64_t>(Report.Budget_->Slack_ * 1000));
  }
  if (Report.Waited_ > framework::Duration::zero())
    Line.millis("waited_ms", Report.Waited_);
  Line.text("target", Report.Target_.value());
  Line.text("zone", Report.Zone_.value());
  Line.number("in_flight", Report.InFlight_);
  Line.flag("cold", Report.IsCold_);
  if (Report.IsUnconfirmed_)
    Line.flag("unconfirmed", true);
  if (!Report.RequestLimit_.isUnlimited())
    Line.number("limit_millihertz", Report.RequestLimit_.Millihertz_);
  if (Report.ReportAge_) {
    Line.millis("report_age_ms", *Report.ReportAge_);
    Line.number("running", Report.LastReport_.InFlight_);
    Line.number("queued", Report.LastReport_.Queued_);
    Line.number("slow_percent",
                Report.LastReport_.SlowdownPercent_.value_or(0));
  }
  Writer_->write(Line);
}

void DecisionLog::log(const decision::ReportAttemptEnd &Ended,
                      std::string_view RequestId,
                      const decision::Core &View) const {
  if (!Writer_ || !IsRequestLogEnabled_)
    return;
  const bool IsRoutine = Ended.Result_ == routing::AttemptResult::Answered;
  LogLine Line("attempt-ended",
               IsRoutine ? LogImportance::Routine : LogImportance::Significant);
  Line.text("request", RequestId);
  addOrigin(Line, Ended.DecidedBy_);
  addStatement(Line, View.view());
  Line.number("attempt", static_cast<std::int64_t>(Ended.Attempt_.value()));
  Line.text("target", Ended.Target_.value());
  Line.text("result", nameOf(Ended.Result_));
  if (Ended.Failure_)
    Line.text("failure", nameOf(*Ended.Failure_));
  Line.millis("elapsed_ms", Ended.Elapsed_);
  if (!IsRoutine)
    Line.text("fingerprint", calls::toText(Ended.Fingerprint_));
  Writer_->write(Line);
}

void DecisionLog::logCallEnd(const decision::EndedCall &Call,
                             std::string_view RequestId,
                             const decision::Core &View) const {
  if (!Writer_ || !IsRequestLogEnabled_)
    return;
  const bool IsRoutine = Call.Ending_ == calls::Ending::Answered &&
                         Call.Status_ < 500 && Call.Attempts_ <= 1;
  LogLine Line("request-ended",
               IsRoutine ? LogImportance::Routine : LogImportance::Significant);
  Line.text("request", RequestId);
  addOrigin(Line, Call.DecidedBy_);
  Line.text("route", Call.Kind_.value());
  Line.text("service", Call.Service_.value());
  if (!Call.Workspace_.value().empty())
    Line.text("workspace", Call.Workspace_.value());
  Line.text("ending", calls::nameOf(Call.Ending_));
  Line.text("reason", calls::nameOf(Call.Reason_));
  Line.number("status", Call.Status_);
  Line.number("attempts", Call.Attempts_);
  Line.flag("caller_gone", Call.IsCallerGone_);
  Line.millis("elapsed_ms", Call.Elapsed_);
  if (!IsRoutine)
    Line.text("fingerprint", calls::toText(Call.Fingerprint_));
  if (Call.StoppingFor_) {
    Line.millis("stopping_ms", *Call.StoppingFor_);
    Line.flag("at_target", Call.IsAtTarget_);
  }
  addView(Line, View);
  Writer_->write(Line);
}

void DecisionLog::logRefusal(const decision::RefuseCall &Refusal,
                             std::string_view RequestId,
                             const decision::Core &View) const {
  if (!Writer_ || !IsRequestLogEnabled_)
    return;
  writeRefusal(RequestId, calls::nameOf(Refusal.Ending_),
               calls::nameOf(Refusal.Reason_),
               statusOf(Refusal.Ending_, Refusal.Reason_), View);
}

void DecisionLog::logRefusal(const RefusedRequest &Refusal,
                             const decision::Core &View) const {
  if (Writer_ && IsRequestLogEnabled_)
    writeRefusal(Refusal.RequestId_, calls::nameOf(calls::Ending::NotRun),
                 Refusal.Reason_, Refusal.Status_, View);
}

void DecisionLog::writeRefusal(std::string_view RequestId,
                               std::string_view Ending, std::string_view Reason,
                               unsigned Status,
                               const decision::Core &View) const {
  // Routine, since callers without a valid key could otherwise use up the
  // budget of the other lines.
  LogLine Line("request-ended", LogImportance::Routine);
  Line.text("request", RequestId);
  if (const std::string Source = View.view().DocumentSource_; !Source.empty())
    Line.text("source", Source);
  Line.number("status", Status);
  Line.text("ending", Ending);
  Line.text("reason", Reason);
  addView(Line, View);
  Writer_->write(Line);
}

void DecisionLog::logWorkerFailure(const std::string &Worker,
                                   const char *Reason) const {
  if (!Writer_)
    return;
  Writer_->write(LogLine("duty-failed", LogImportance::Significant)
                     .text("subject", Worker)
                     .text("reason", Reason));
}

void DecisionLog::logMetricsUnavailable(const std::string &Address,
                                        const std::string &Reason) const {
  if (!Writer_)
    return;
  Writer_->write(LogLine("no-metrics", LogImportance::Significant)
                     .text("subject", Address)
                     .text("reason", Reason));
}

void DecisionLog::logRestartLimitReached(const std::string &Worker) const {
  if (Writer_)
    Writer_->write(
        LogLine("gave-up", LogImportance::Significant).text("subject", Worker));
}

} // namespace cranberryspool::entry
