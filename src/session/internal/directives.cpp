#include "session/internal/directives.h"

#include "session/internal/names.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

constexpr SessionFault BadMember = SessionFault::BadMember;

/// Returns the document with the state of one availability zone changed.
std::string withZone(const std::string &Document, const std::string &Zone,
                     const std::string &State) {
  json::value Root = json::parse(Document);
  for (json::value &Entry : Root.as_object()["zones"].as_array())
    if (Entry.as_object()["name"] == json::string(Zone))
      Entry.as_object()["state"] = State;
  return json::serialize(Root);
}

} // namespace

Directives::Played Directives::play(std::string_view Kind, LineMembers &Line) {
  if (Kind == "calls")
    return playCalls(Line);
  if (Kind == "target")
    return playTarget(Line);
  if (Kind == "reset-connections" || Kind == "silence-connections")
    return playConnections(Kind, Line);
  if (Kind == "platform")
    return playPlatform(Line);
  if (Kind == "zone")
    return playZone(Line);
  if (Kind == "instance")
    return playInstance(Line);
  if (Kind == "peer")
    return playPeer(Line);
  return playEvent(Kind, Line);
}

Directives::Played Directives::playCalls(LineMembers &Line) {
  const auto Method = Line.text("method");
  const auto Path = Line.text("path");
  if (!Method || !Path)
    return BadMember;
  decision::CallArrived Arrival;
  Arrival.Method_ = *Method;
  Arrival.Path_ = *Path;
  if (Line.has("timeout")) {
    Arrival.Timeout_ = Line.time("timeout");
    if (!Arrival.Timeout_)
      return BadMember;
  }
  if (Line.has("key"))
    Arrival.Key_ = framework::IdempotencyKey(Line.text("key").value_or(""));
  if (Line.has("mark"))
    Arrival.Attempt_ =
        static_cast<std::uint32_t>(Line.number("mark").value_or(1));
  const std::uint64_t Count = Line.number("count").value_or(1);
  const auto Every = Line.time("every").value_or(framework::Duration::zero());
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    Arrival.Call_ = framework::CallId(++LastCall_);
    World_.schedule(Now_ + Every * static_cast<std::int64_t>(Index), Arrival);
  }
  return framework::success();
}

Directives::Played Directives::playTarget(LineMembers &Line) {
  const auto Name = Line.text("name");
  if (!Name)
    return BadMember;
  ScriptedTarget &Changed = World_.target(*Name);
  if (Line.has("mode")) {
    const auto Mode = targetModeOf(Line.text("mode").value_or(""));
    if (!Mode)
      return BadMember;
    Changed.Mode_ = *Mode;
  }
  if (Line.has("answer-time")) {
    const auto Time = Line.time("answer-time");
    if (!Time)
      return BadMember;
    Changed.AnswerTime_ = *Time;
  }
  if (Line.has("start-id"))
    Changed.StartId_ = Line.number("start-id").value_or(Changed.StartId_);
  if (Line.has("cold"))
    Changed.IsCold_ = Line.flag("cold").value_or(Changed.IsCold_);
  return framework::success();
}

Directives::Played Directives::playConnections(std::string_view Kind,
                                               LineMembers &Line) {
  const auto Name = Line.text("name");
  if (!Name)
    return BadMember;
  if (Kind == "reset-connections")
    World_.resetConnections(*Name, Now_);
  else
    World_.silenceConnections(*Name);
  return framework::success();
}

Directives::Played Directives::playPlatform(LineMembers &Line) {
  if (Line.has("serve-revision")) {
    const auto Revision = Line.number("serve-revision");
    if (!Revision)
      return BadMember;
    World_.serveDocument(*Revision);
    return framework::success();
  }
  const auto IsDown = Line.flag("down");
  if (!IsDown)
    return BadMember;
  World_.setPlatformDown(*IsDown);
  return framework::success();
}

Directives::Played Directives::playZone(LineMembers &Line) {
  const auto Name = Line.text("name");
  const auto State = Line.text("state");
  if (!Name || !State)
    return BadMember;
  World_.publishDocument(withZone(World_.newestDocument(), *Name, *State));
  return framework::success();
}

Directives::Played Directives::playInstance(LineMembers &Line) {
  const auto Name = Line.text("name");
  const auto State = Line.text("state");
  if (!Name || !State)
    return BadMember;
  std::vector<document::PublishedInstance> All = World_.setup().Instances_;
  const auto Found =
      std::find_if(All.begin(), All.end(), [&](const auto &Instance) {
        return Instance.Name_.value() == *Name;
      });
  if (Found == All.end())
    return BadMember;
  Found->IsLeaving_ = *State == "leaving";
  if (*State == "gone")
    All.erase(Found);
  World_.publishInstances(std::move(All));
  return framework::success();
}

Directives::Played Directives::playPeer(LineMembers &Line) {
  const auto Name = Line.text("name");
  const auto Zone = Line.text("zone");
  const auto Address = Line.text("address");
  if (!Name || !Zone || !Address)
    return BadMember;
  std::vector<document::PublishedInstance> All = World_.setup().Instances_;
  All.push_back({.Name_ = framework::InstanceName(*Name),
                 .Group_ = std::nullopt,
                 .Zone_ = framework::ZoneName(*Zone),
                 .Address_ = *Address});
  World_.publishInstances(std::move(All));
  return framework::success();
}

Directives::Played Directives::playEvent(std::string_view Kind,
                                         LineMembers &Line) {
  if (Kind == "stop-requested") {
    World_.schedule(Now_, decision::StopRequested{});
    return framework::success();
  }
  if (Kind == "caller-gone") {
    const auto Call = Line.number("call");
    if (!Call)
      return BadMember;
    World_.schedule(Now_, decision::CallerGone{framework::CallId(*Call)});
    return framework::success();
  }
  if (Kind == "late-answer") {
    const auto Attempt = Line.number("attempt");
    const auto Connection = Line.number("connection");
    if (!Attempt || !Connection)
      return BadMember;
    World_.scheduleLateAnswer(Now_, framework::AttemptId(*Attempt),
                              framework::ConnectionId(*Connection));
    return framework::success();
  }
  return SessionFault::UnknownKind;
}

} // namespace cranberryspool::session
