#include "session/internal/lines.h"
#include "session/internal/names.h"

#include <variant>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

using namespace decision;

json::object write(const AnswerBegan &Seen) {
  return {{"event", "answer-began"}, {"attempt", shortNumber(Seen.Attempt_)}};
}

json::object write(const AttemptAnswered &Seen) {
  json::object Line{{"event", "attempt-answered"},
                    {"attempt", shortNumber(Seen.Attempt_)},
                    {"status", Seen.Status_}};
  if (Seen.IsNotRun_)
    Line["not-run"] = true;
  if (Seen.EchoedAttempt_ != Seen.Attempt_)
    Line["echoed"] = Seen.EchoedAttempt_
                         ? json::value(shortNumber(*Seen.EchoedAttempt_))
                         : json::value(nullptr);
  return Line;
}

json::object write(const AttemptFailed &Seen) {
  return {{"event", "attempt-failed"},
          {"attempt", shortNumber(Seen.Attempt_)},
          {"failure", nameOf(Seen.Failure_)},
          {"written", nameOf(Seen.Written_)}};
}

json::object write(const CallArrived &Seen) {
  return {{"event", "call-arrived"},
          {"call", Seen.Call_.value()},
          {"method", Seen.Method_},
          {"path", Seen.Path_}};
}

json::object write(const CallerGone &Seen) {
  return {{"event", "caller-gone"}, {"call", Seen.Call_.value()}};
}

json::object write(const ConnectionClosed &Seen) {
  return {{"event", "connection-closed"},
          {"connection", Seen.Connection_.value()}};
}

json::object write(const ConnectionOpened &Seen) {
  return {{"event", "connection-opened"},
          {"connection", Seen.Connection_.value()}};
}

json::object write(const DocumentPublished &Seen) {
  return {{"event", "document-published"},
          {"revision", Seen.Revision_.value()}};
}

json::object write(const InstancesPublished &Seen) {
  return {{"event", "instances-published"},
          {"revision", Seen.Revision_.value()}};
}

json::object write(const KeptAnswerFetched &Seen) {
  return {{"event", "kept-answer-fetched"},
          {"call", Seen.Call_.value()},
          {"found", Seen.IsFound_}};
}

json::object write(const ProbeAnswered &Seen) {
  return {{"event", "probe-answered"}, {"probe", Seen.Probe_.value()}};
}

json::object write(const ProbeFailed &Seen) {
  return {{"event", "probe-failed"}, {"probe", Seen.Probe_.value()}};
}

json::object write(const DocumentUnavailable &) {
  return {{"event", "document-unavailable"}};
}

json::object write(const DocumentUnchanged &) {
  return {{"event", "document-unchanged"}};
}

json::object write(const InstancesUnavailable &) {
  return {{"event", "instances-unavailable"}};
}

json::object write(const InstancesUnchanged &) {
  return {{"event", "instances-unchanged"}};
}

json::object write(const PeerMessageReceived &) {
  return {{"event", "peer-message-received"}};
}

json::object write(const RecordsRead &Seen) {
  return {{"event", "records-read"}, {"as-of", Seen.AsOf_.value()}};
}

json::object write(const RecordsChanged &Seen) {
  return {{"event", "records-changed"}, {"as-of", Seen.AsOf_.value()}};
}

json::object write(const RecordHistoryLost &) {
  return {{"event", "record-history-lost"}};
}

json::object write(const RecordsUnavailable &) {
  return {{"event", "records-unavailable"}};
}

json::object write(const SeedsChanged &) {
  return {{"event", "seeds-changed"}};
}

json::object write(const SectionsFetched &Seen) {
  return {{"event", "sections-fetched"}, {"peer", Seen.PeerAddress_}};
}

json::object write(const SectionsRequested &Seen) {
  return {{"event", "sections-requested"}, {"request", Seen.Request_}};
}

json::object write(const SectionsUnavailable &Seen) {
  return {{"event", "sections-unavailable"}, {"peer", Seen.PeerAddress_}};
}

json::object write(const StopRequested &) {
  return {{"event", "stop-requested"}};
}

json::object write(const Tick &) { return {{"event", "tick"}}; }

} // namespace

json::object eventLine(const Event &Happened) {
  return std::visit([](const auto &Kind) { return write(Kind); }, Happened);
}

} // namespace cranberryspool::session
