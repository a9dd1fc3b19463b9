#include "entry/internal/decisionlog.h"

#include "calls/endingnames.h"
#include "decision/changenames.h"
#include "framework/log/logline.h"
#include "framework/log/logwriter.h"

#include <algorithm>

namespace cranberryspool::entry {

using decision::ChangeKind;
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

/// Adds the version and the age of the view on which a decision was based.
void addView(LogLine &Line, const decision::Core &View) {
  const decision::ViewStatus Status = View.view();
  Line.number("version", static_cast<std::int64_t>(Status.Document_.value()));
  Line.number("revision", static_cast<std::int64_t>(Status.Revision_.value()));
  Line.millis("view_age_ms", Status.Age_);
}

} // namespace

void DecisionLog::log(ChangeKind Kind, const std::string &Subject,
                      const decision::Core &View) const {
  if (!Writer_)
    return;
  LogLine Line(decision::nameOf(Kind), LogImportance::Significant);
  Line.text("subject", Subject);
  addView(Line, View);
  Writer_->write(Line);
}

void DecisionLog::log(const decision::ReportAttempt &Sent,
                      std::string_view RequestId) const {
  if (!Writer_ || !IsRequestLogEnabled_)
    return;
  const bool IsFirst = Sent.Kind_ == calls::AttemptKind::First;
  LogLine Line("attempt-sent",
               IsFirst ? LogImportance::Routine : LogImportance::Significant);
  Line.text("request", RequestId);
  Line.number("attempt", static_cast<std::int64_t>(Sent.Attempt_.value()));
  Line.text("kind", nameOf(Sent.Kind_));
  Line.text("target", Sent.Target_.value());
  Line.text("zone", Sent.Zone_.value());
  Line.number("in_flight", Sent.InFlight_);
  Line.flag("cold", Sent.IsCold_);
  if (Sent.ReportAge_) {
    Line.millis("report_age_ms", *Sent.ReportAge_);
    Line.number("running", Sent.LastReport_.InFlight_);
    Line.number("queued", Sent.LastReport_.Queued_);
    Line.number("slow_percent", Sent.LastReport_.SlowdownPercent_.value_or(0));
  }
  Writer_->write(Line);
}

void DecisionLog::log(const decision::ReportAttemptEnd &Ended,
                      std::string_view RequestId) const {
  if (!Writer_ || !IsRequestLogEnabled_)
    return;
  const bool IsRoutine = Ended.Result_ == routing::AttemptResult::Answered;
  LogLine Line("attempt-ended",
               IsRoutine ? LogImportance::Routine : LogImportance::Significant);
  Line.text("request", RequestId);
  Line.number("attempt", static_cast<std::int64_t>(Ended.Attempt_.value()));
  Line.text("target", Ended.Target_.value());
  Line.text("result", nameOf(Ended.Result_));
  Line.millis("elapsed_ms", Ended.Elapsed_);
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
  Line.text("route", Call.Kind_.value());
  Line.text("service", Call.Service_.value());
  Line.text("ending", calls::nameOf(Call.Ending_));
  Line.text("reason", calls::nameOf(Call.Reason_));
  Line.number("status", Call.Status_);
  Line.number("attempts", Call.Attempts_);
  Line.flag("caller_gone", Call.IsCallerGone_);
  Line.millis("elapsed_ms", Call.Elapsed_);
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
