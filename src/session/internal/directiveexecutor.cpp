#include "session/internal/directiveexecutor.h"

#include "session/internal/names.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

constexpr SessionErrorCode InvalidMember = SessionErrorCode::InvalidMember;

/// Returns the document with the state of one availability zone changed.
std::string withZoneState(const std::string &Document, const std::string &Zone,
                          const std::string &State) {
  json::value Root = json::parse(Document);
  for (json::value &Entry : Root.as_object()["zones"].as_array())
    if (Entry.as_object()["name"] == json::string(Zone))
      Entry.as_object()["state"] = State;
  return json::serialize(Root);
}

} // namespace

DirectiveExecutor::Outcome
DirectiveExecutor::execute(std::string_view Directive,
                           JsonObjectReader &Reader) {
  if (Directive == "calls")
    return scheduleCalls(Reader);
  if (Directive == "target")
    return configureTarget(Reader);
  if (Directive == "reset-connections" || Directive == "silence-connections")
    return disruptConnections(Directive, Reader);
  if (Directive == "platform")
    return configurePlatform(Reader);
  if (Directive == "zone")
    return setZoneState(Reader);
  if (Directive == "instance")
    return setInstanceState(Reader);
  if (Directive == "peer")
    return addPeer(Reader);
  return scheduleEvent(Directive, Reader);
}

DirectiveExecutor::Outcome
DirectiveExecutor::scheduleCalls(JsonObjectReader &Reader) {
  const auto Method = Reader.text("method");
  const auto Path = Reader.text("path");
  if (!Method || !Path)
    return InvalidMember;
  decision::CallArrived Arrival;
  Arrival.Method_ = *Method;
  Arrival.Path_ = *Path;
  if (Reader.has("timeout")) {
    Arrival.Timeout_ = Reader.duration("timeout");
    if (!Arrival.Timeout_)
      return InvalidMember;
  }
  if (Reader.has("key"))
    Arrival.Key_ = framework::IdempotencyKey(Reader.text("key").value_or(""));
  if (Reader.has("mark"))
    Arrival.Attempt_ =
        static_cast<std::uint32_t>(Reader.number("mark").value_or(1));
  const std::uint64_t Count = Reader.number("count").value_or(1);
  const auto Interval =
      Reader.duration("every").value_or(framework::Duration::zero());
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    Arrival.Call_ = framework::CallId(++LastCallId_);
    Environment_.schedule(Now_ + Interval * static_cast<std::int64_t>(Index),
                          Arrival);
  }
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::configureTarget(JsonObjectReader &Reader) {
  const auto Name = Reader.text("name");
  if (!Name)
    return InvalidMember;
  ScriptedTarget &Target = Environment_.target(*Name);
  if (Reader.has("mode")) {
    const auto Mode = parseTargetMode(Reader.text("mode").value_or(""));
    if (!Mode)
      return InvalidMember;
    Target.Mode_ = *Mode;
  }
  if (Reader.has("answer-time")) {
    const auto Time = Reader.duration("answer-time");
    if (!Time)
      return InvalidMember;
    Target.ResponseTime_ = *Time;
  }
  if (Reader.has("start-id"))
    Target.StartId_ = Reader.number("start-id").value_or(Target.StartId_);
  if (Reader.has("cold"))
    Target.IsCold_ = Reader.boolean("cold").value_or(Target.IsCold_);
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::disruptConnections(std::string_view Directive,
                                      JsonObjectReader &Reader) {
  const auto Name = Reader.text("name");
  if (!Name)
    return InvalidMember;
  if (Directive == "reset-connections")
    Environment_.resetConnections(*Name, Now_);
  else
    Environment_.silenceConnections(*Name);
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::configurePlatform(JsonObjectReader &Reader) {
  if (Reader.has("serve-revision")) {
    const auto Revision = Reader.number("serve-revision");
    if (!Revision)
      return InvalidMember;
    Environment_.serveDocumentRevision(*Revision);
    return framework::success();
  }
  const auto IsDown = Reader.boolean("down");
  if (!IsDown)
    return InvalidMember;
  Environment_.setPlatformDown(*IsDown);
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::setZoneState(JsonObjectReader &Reader) {
  const auto Name = Reader.text("name");
  const auto State = Reader.text("state");
  if (!Name || !State)
    return InvalidMember;
  Environment_.publishDocument(
      withZoneState(Environment_.latestDocument(), *Name, *State));
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::setInstanceState(JsonObjectReader &Reader) {
  const auto Name = Reader.text("name");
  const auto State = Reader.text("state");
  if (!Name || !State)
    return InvalidMember;
  std::vector<document::PublishedInstance> Instances =
      Environment_.setup().Instances_;
  const auto Found = std::find_if(
      Instances.begin(), Instances.end(),
      [&](const auto &Instance) { return Instance.Name_.value() == *Name; });
  if (Found == Instances.end())
    return InvalidMember;
  Found->IsLeaving_ = *State == "leaving";
  if (*State == "gone")
    Instances.erase(Found);
  Environment_.publishInstances(std::move(Instances));
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::addPeer(JsonObjectReader &Reader) {
  const auto Name = Reader.text("name");
  const auto Zone = Reader.text("zone");
  const auto Address = Reader.text("address");
  if (!Name || !Zone || !Address)
    return InvalidMember;
  std::vector<document::PublishedInstance> Instances =
      Environment_.setup().Instances_;
  Instances.push_back({.Name_ = framework::InstanceName(*Name),
                       .Group_ = std::nullopt,
                       .Zone_ = framework::ZoneName(*Zone),
                       .Address_ = *Address});
  Environment_.publishInstances(std::move(Instances));
  return framework::success();
}

DirectiveExecutor::Outcome
DirectiveExecutor::scheduleEvent(std::string_view Directive,
                                 JsonObjectReader &Reader) {
  if (Directive == "stop-requested") {
    Environment_.schedule(Now_, decision::StopRequested{});
    return framework::success();
  }
  if (Directive == "caller-gone") {
    const auto Call = Reader.number("call");
    if (!Call)
      return InvalidMember;
    Environment_.schedule(Now_, decision::CallerGone{framework::CallId(*Call)});
    return framework::success();
  }
  if (Directive == "late-answer") {
    const auto Attempt = Reader.number("attempt");
    const auto Connection = Reader.number("connection");
    if (!Attempt || !Connection)
      return InvalidMember;
    Environment_.scheduleLateResponse(Now_, framework::AttemptId(*Attempt),
                                      framework::ConnectionId(*Connection));
    return framework::success();
  }
  return SessionErrorCode::UnknownDirective;
}

} // namespace cranberryspool::session
