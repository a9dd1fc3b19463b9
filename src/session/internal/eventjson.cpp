#include "session/internal/names.h"
#include "session/internal/tracejson.h"

#include <variant>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

using namespace decision;

json::object toJson(const AnswerBegan &Event) {
  return {{"event", "answer-began"},
          {"attempt", sequenceNumber(Event.Attempt_)}};
}

json::object toJson(const AttemptAnswered &Event) {
  json::object Members{{"event", "attempt-answered"},
                       {"attempt", sequenceNumber(Event.Attempt_)},
                       {"status", Event.Status_}};
  if (Event.IsNotRun_)
    Members["not-run"] = true;
  if (Event.EchoedAttempt_ != Event.Attempt_)
    Members["echoed"] = Event.EchoedAttempt_
                            ? json::value(sequenceNumber(*Event.EchoedAttempt_))
                            : json::value(nullptr);
  return Members;
}

json::object toJson(const AttemptFailed &Event) {
  return {{"event", "attempt-failed"},
          {"attempt", sequenceNumber(Event.Attempt_)},
          {"failure", nameOf(Event.Failure_)},
          {"written", nameOf(Event.Written_)}};
}

json::object toJson(const CallArrived &Event) {
  return {{"event", "call-arrived"},
          {"call", Event.Call_.value()},
          {"method", Event.Method_},
          {"path", Event.Path_}};
}

json::object toJson(const CallerGone &Event) {
  return {{"event", "caller-gone"}, {"call", Event.Call_.value()}};
}

json::object toJson(const ConnectionClosed &Event) {
  return {{"event", "connection-closed"},
          {"connection", Event.Connection_.value()}};
}

json::object toJson(const ConnectionOpened &Event) {
  return {{"event", "connection-opened"},
          {"connection", Event.Connection_.value()}};
}

json::object toJson(const DocumentPublished &Event) {
  return {{"event", "document-published"},
          {"revision", Event.Revision_.value()}};
}

json::object toJson(const InstancesPublished &Event) {
  return {{"event", "instances-published"},
          {"revision", Event.Revision_.value()}};
}

json::object toJson(const KeptAnswerFetched &Event) {
  return {{"event", "kept-answer-fetched"},
          {"call", Event.Call_.value()},
          {"found", Event.IsFound_}};
}

json::object toJson(const ProbeAnswered &Event) {
  return {{"event", "probe-answered"}, {"probe", Event.Probe_.value()}};
}

json::object toJson(const ProbeFailed &Event) {
  return {{"event", "probe-failed"}, {"probe", Event.Probe_.value()}};
}

json::object toJson(const DocumentUnavailable &) {
  return {{"event", "document-unavailable"}};
}

json::object toJson(const DocumentUnchanged &) {
  return {{"event", "document-unchanged"}};
}

json::object toJson(const InstancesUnavailable &) {
  return {{"event", "instances-unavailable"}};
}

json::object toJson(const InstancesUnchanged &) {
  return {{"event", "instances-unchanged"}};
}

json::object toJson(const PeerMessageUnreadable &) {
  return {{"event", "peer-message-unreadable"}};
}

json::object toJson(const PeerMessageReceived &) {
  return {{"event", "peer-message-received"}};
}

json::object toJson(const RecordsRead &Event) {
  return {{"event", "records-read"}, {"as-of", Event.AsOf_.value()}};
}

json::object toJson(const RecordsChanged &Event) {
  return {{"event", "records-changed"},
          {"as-of", Event.AsOf_.value()},
          {"is-part", Event.IsPart_}};
}

json::object toJson(const RecordHistoryLost &) {
  return {{"event", "record-history-lost"}};
}

json::object toJson(const RecordsArriving &) {
  return {{"event", "records-arriving"}};
}

json::object toJson(const RecordsUnavailable &) {
  return {{"event", "records-unavailable"}};
}

json::object toJson(const SeedsChanged &) {
  return {{"event", "seeds-changed"}};
}

json::object toJson(const SectionsFetched &Event) {
  return {{"event", "sections-fetched"}, {"peer", Event.PeerAddress_}};
}

json::object toJson(const SectionsRequested &Event) {
  return {{"event", "sections-requested"}, {"request", Event.Request_}};
}

json::object toJson(const SectionsUnavailable &Event) {
  return {{"event", "sections-unavailable"}, {"peer", Event.PeerAddress_}};
}

json::object toJson(const StopRequested &) {
  return {{"event", "stop-requested"}};
}

json::object toJson(const Tick &) { return {{"event", "tick"}}; }

} // namespace

json::object eventToJson(const Event &Event) {
  return std::visit([](const auto &Alternative) { return toJson(Alternative); },
                    Event);
}

} // namespace cranberryspool::session
