#include "session/internal/lines.h"
#include "session/internal/names.h"

#include "framework/units.h"

#include <variant>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

using namespace decision;

json::object write(const AnswerCall &Asked) {
  return {{"action", "answer-call"},
          {"call", Asked.Call_.value()},
          {"attempt", shortNumber(Asked.Attempt_)}};
}

json::object write(const CloseConnection &Asked) {
  return {{"action", "close-connection"},
          {"connection", Asked.Connection_.value()}};
}

json::object write(const DropKeptAnswer &Asked) {
  return {{"action", "drop-kept-answer"}, {"call", Asked.Call_.value()}};
}

json::object write(const FetchKeptAnswer &Asked) {
  return {{"action", "fetch-kept-answer"},
          {"call", Asked.Call_.value()},
          {"peer", Asked.PeerAddress_}};
}

json::object write(const FetchSections &Asked) {
  return {{"action", "fetch-sections"}, {"peer", Asked.PeerAddress_}};
}

json::object write(const FinishStop &) { return {{"action", "finish-stop"}}; }

json::object write(const KeepAnswer &Asked) {
  return {{"action", "keep-answer"}, {"call", Asked.Call_.value()}};
}

json::object write(const OpenConnection &Asked) {
  return {{"action", "open-connection"},
          {"connection", Asked.Connection_.value()},
          {"address", Asked.Address_}};
}

json::object write(const ProbeTarget &Asked) {
  return {{"action", "probe-target"},
          {"probe", Asked.Probe_.value()},
          {"address", Asked.Address_}};
}

json::object write(const ReadDocument &Asked) {
  json::object Line{{"action", "read-document"}};
  if (Asked.NewerThan_)
    Line["newer-than"] = Asked.NewerThan_->value();
  return Line;
}

json::object write(const ReadInstances &Asked) {
  json::object Line{{"action", "read-instances"}};
  if (Asked.NewerThan_)
    Line["newer-than"] = Asked.NewerThan_->value();
  return Line;
}

json::object write(const RefuseCall &Asked) {
  return {{"action", "refuse-call"},
          {"call", Asked.Call_.value()},
          {"ending", nameOf(Asked.Ending_)},
          {"reason", nameOf(Asked.Reason_)},
          {"retry-after", framework::durationText(Asked.RetryAfter_)}};
}

json::object write(const ReplayKeptAnswer &Asked) {
  return {{"action", "replay-kept-answer"}, {"call", Asked.Call_.value()}};
}

json::object write(const ReportChange &Asked) {
  return {{"action", "report-change"},
          {"change", decision::nameOf(Asked.Kind_)},
          {"subject", Asked.Subject_}};
}

json::object write(const SendAttempt &Asked) {
  return {{"action", "send-attempt"},
          {"call", Asked.Call_.value()},
          {"attempt", shortNumber(Asked.Attempt_)},
          {"connection", Asked.Connection_.value()},
          {"timeout", framework::durationText(Asked.Timeout_)},
          {"mark", Asked.AttemptMark_}};
}

json::object write(const ReportAttempt &Asked) {
  return {{"action", "report-attempt"}, {"call", Asked.Call_.value()}};
}

json::object write(const ReportAttemptEnd &Asked) {
  return {{"action", "report-attempt-end"}, {"call", Asked.Call_.value()}};
}

json::object write(const ReadRecords &) { return {{"action", "read-records"}}; }

json::object write(const SendPeerMessage &Asked) {
  return {{"action", "send-peer-message"}, {"peer", Asked.PeerAddress_}};
}

json::object write(const ServeSections &Asked) {
  return {{"action", "serve-sections"}, {"request", Asked.Request_}};
}

json::object write(const SetReadiness &Asked) {
  return {{"action", "set-readiness"}, {"ready", Asked.IsReady_}};
}

} // namespace

json::object actionLine(const Action &Asked) {
  return std::visit([](const auto &Kind) { return write(Kind); }, Asked);
}

} // namespace cranberryspool::session
