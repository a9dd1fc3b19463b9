#include "session/internal/names.h"
#include "session/internal/tracejson.h"

#include "framework/units.h"

#include <variant>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

using namespace decision;

json::object toJson(const AnswerCall &Action) {
  return {{"action", "answer-call"},
          {"call", Action.Call_.value()},
          {"attempt", sequenceNumber(Action.Attempt_)}};
}

json::object toJson(const CloseConnection &Action) {
  return {{"action", "close-connection"},
          {"connection", Action.Connection_.value()}};
}

json::object toJson(const DropKeptAnswer &Action) {
  return {{"action", "drop-kept-answer"}, {"call", Action.Call_.value()}};
}

json::object toJson(const FetchKeptAnswer &Action) {
  return {{"action", "fetch-kept-answer"},
          {"call", Action.Call_.value()},
          {"peer", Action.PeerAddress_}};
}

json::object toJson(const FetchSections &Action) {
  return {{"action", "fetch-sections"}, {"peer", Action.PeerAddress_}};
}

json::object toJson(const FinishStop &) { return {{"action", "finish-stop"}}; }

json::object toJson(const KeepAnswer &Action) {
  return {{"action", "keep-answer"}, {"call", Action.Call_.value()}};
}

json::object toJson(const OpenConnection &Action) {
  return {{"action", "open-connection"},
          {"connection", Action.Connection_.value()},
          {"address", Action.Address_}};
}

json::object toJson(const ProbeTarget &Action) {
  return {{"action", "probe-target"},
          {"probe", Action.Probe_.value()},
          {"address", Action.Address_}};
}

json::object toJson(const ReadDocument &Action) {
  json::object Members{{"action", "read-document"}};
  if (Action.NewerThan_)
    Members["newer-than"] = Action.NewerThan_->value();
  return Members;
}

json::object toJson(const ReadInstances &Action) {
  json::object Members{{"action", "read-instances"}};
  if (Action.NewerThan_)
    Members["newer-than"] = Action.NewerThan_->value();
  return Members;
}

json::object toJson(const RefuseCall &Action) {
  return {{"action", "refuse-call"},
          {"call", Action.Call_.value()},
          {"ending", nameOf(Action.Ending_)},
          {"reason", nameOf(Action.Reason_)},
          {"retry-after", framework::durationText(Action.RetryAfter_)}};
}

json::object toJson(const ReplayKeptAnswer &Action) {
  return {{"action", "replay-kept-answer"}, {"call", Action.Call_.value()}};
}

json::object toJson(const ReportChange &Action) {
  return {{"action", "report-change"},
          {"change", decision::nameOf(Action.Kind_)},
          {"subject", Action.Subject_}};
}

json::object toJson(const SendAttempt &Action) {
  return {{"action", "send-attempt"},
          {"call", Action.Call_.value()},
          {"attempt", sequenceNumber(Action.Attempt_)},
          {"connection", Action.Connection_.value()},
          {"timeout", framework::durationText(Action.Timeout_)},
          {"mark", Action.AttemptMark_}};
}

json::object toJson(const ReportAttempt &Action) {
  return {{"action", "report-attempt"}, {"call", Action.Call_.value()}};
}

json::object toJson(const ReportAttemptEnd &Action) {
  return {{"action", "report-attempt-end"}, {"call", Action.Call_.value()}};
}

json::object toJson(const ReadRecords &) {
  return {{"action", "read-records"}};
}

json::object toJson(const SendPeerMessage &Action) {
  return {{"action", "send-peer-message"}, {"peer", Action.PeerAddress_}};
}

json::object toJson(const ServeSections &Action) {
  return {{"action", "serve-sections"}, {"request", Action.Request_}};
}

json::object toJson(const SetReadiness &Action) {
  return {{"action", "set-readiness"}, {"ready", Action.IsReady_}};
}

} // namespace

json::object actionToJson(const Action &Action) {
  return std::visit([](const auto &Alternative) { return toJson(Alternative); },
                    Action);
}

} // namespace cranberryspool::session
