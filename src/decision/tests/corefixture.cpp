#include "decision/tests/corefixture.h"

#include <algorithm>

namespace cranberryspool::decision {

namespace {

constexpr const char *DocumentText = R"({
  "max-instances": 4,
  "list-lag": "1s",
  "zones": [{"name": "ikeja", "state": "STATE"}],
  "services": [{
    "name": "certdesk",
    "slots-per-target": 4,
    "connections-per-target": 32,
    "probes-per-target-per-minute": 30,
    "cold-start": {"max-in-flight": 4, "warmup": "1s"},
    "groups": [{"name": "certdesk-ikeja", "zone": "ikeja"}],
    "kinds": [
      {"name": "look-up", "method": "GET", "path": "/certificates/*",
       "idempotent": true, "urgency": "urgent", "deadline": "500ms",
       "hedging": true},
      {"name": "issue", "method": "POST", "path": "/certificates",
       "idempotent": false, "urgency": "ordinary", "deadline": "2s"},
      {"name": "report", "method": "GET", "path": "/reports/*",
       "idempotent": true, "urgency": "ordinary", "deadline": "30s"},
      {"name": "survey", "method": "POST", "path": "/surveys",
       "idempotent": false, "urgency": "ordinary", "deadline": "30s"}
    ],
    "objectives": []
  }]
})";

document::PublishedInstance target(const std::string &Name,
                                   const std::string &Address) {
  return document::PublishedInstance{.Name_ = framework::InstanceName(Name),
                                     .Group_ =
                                         framework::GroupName("certdesk-ikeja"),
                                     .Zone_ = framework::ZoneName("ikeja"),
                                     .Address_ = Address};
}

constexpr framework::Duration ReplyTime = std::chrono::milliseconds(1);

} // namespace

CoreFixture::CoreFixture(framework::Duration StopGracePeriod)
    : Core_(CoreSettings{.Self_ = framework::InstanceName("entry-1"),
                         .Incarnation_ = framework::Incarnation(1),
                         .Zone_ = framework::ZoneName("ikeja"),
                         .PeerAddress_ = "127.0.0.1:7000",
                         .StopGracePeriod_ = StopGracePeriod},
            framework::Random(1)) {}

void CoreFixture::startUp() {
  publishDocument(false);
  publishInstances(false);
  deliver(Tick{});
  pass(std::chrono::seconds(8));
}

ActionList CoreFixture::deliver(const Event &Input) {
  ActionList Output;
  Core_.handle(Now_, Input, Output);
  for (const Action &Each : Output)
    scheduleReply(Each);
  return Output;
}

ActionList CoreFixture::pass(framework::Duration Time) {
  ActionList Output;
  const auto Handle = [&](const Event &Input) {
    const ActionList Actions = deliver(Input);
    Output.insert(Output.end(), Actions.begin(), Actions.end());
  };
  const framework::Instant End = Now_.Monotonic_ + Time;
  while (true) {
    framework::Instant Next = Core_.nextWakeUp();
    const bool IsReply =
        !ScheduledEvents_.empty() && ScheduledEvents_.begin()->first < Next;
    Next = IsReply ? ScheduledEvents_.begin()->first : Next;
    if (Next >= End)
      break;
    advanceClockTo(std::max(Now_.Monotonic_, Next));
    if (IsReply)
      Handle(ScheduledEvents_.extract(ScheduledEvents_.begin()).mapped());
    else
      Handle(Tick{});
  }
  advanceClockTo(End);
  Handle(Tick{});
  return Output;
}

void CoreFixture::publishInstances(bool IsFirstLeaving) {
  const document::PublishedInstance Self{.Name_ =
                                             framework::InstanceName("entry-1"),
                                         .Group_ = std::nullopt,
                                         .Zone_ = framework::ZoneName("ikeja"),
                                         .Address_ = "127.0.0.1:7000"};
  Instances_.Revision_ = framework::Revision(Instances_.Revision_.value() + 1);
  Instances_.Instances_ = {Self, target("cert-1", "127.0.1.1:80"),
                           target("cert-2", "127.0.1.2:80")};
  Instances_.Instances_[1].IsLeaving_ = IsFirstLeaving;
}

void CoreFixture::publishDocument(bool IsZoneOut) {
  Document_.Revision_ = framework::Revision(Document_.Revision_.value() + 1);
  Document_.Text_ = DocumentText;
  Document_.Text_.replace(Document_.Text_.find("STATE"), 5,
                          IsZoneOut ? "out" : "in");
}

ActionList CoreFixture::deliverDocument(bool IsZoneOut) {
  publishDocument(IsZoneOut);
  return deliver(Document_);
}

ActionList CoreFixture::deliverInstances(bool IsFirstLeaving) {
  publishInstances(IsFirstLeaving);
  return deliver(Instances_);
}

CallArrived CoreFixture::makeLongCall(std::uint64_t Id, bool IsIdempotent) {
  CallArrived Arrival = makeCall(Id, IsIdempotent);
  Arrival.Path_ = IsIdempotent ? "/reports/1" : "/surveys";
  return Arrival;
}

CallArrived CoreFixture::makeCall(std::uint64_t Id, bool IsIdempotent) {
  CallArrived Arrival;
  Arrival.Call_ = framework::CallId(Id);
  Arrival.Method_ = IsIdempotent ? "GET" : "POST";
  Arrival.Path_ = IsIdempotent ? "/certificates/7" : "/certificates";
  return Arrival;
}

AttemptAnswered CoreFixture::makeAnswer(const SendAttempt &Sent,
                                        std::uint32_t Status) {
  return AttemptAnswered{.Attempt_ = Sent.Attempt_,
                         .Connection_ = Sent.Connection_,
                         .EchoedAttempt_ = Sent.Attempt_,
                         .Status_ = Status,
                         .Report_ = routing::LoadReport{},
                         .StartId_ = framework::Incarnation(1)};
}

AttemptAnswered CoreFixture::makeNotRunAnswer(const SendAttempt &Sent) {
  AttemptAnswered Answer = makeAnswer(Sent, 503);
  Answer.IsNotRun_ = true;
  return Answer;
}

void CoreFixture::advanceClockTo(framework::Instant When) {
  Now_.Wall_ += When - Now_.Monotonic_;
  Now_.Monotonic_ = When;
}

void CoreFixture::scheduleReply(const Action &Each) {
  if (const auto *Open = std::get_if<OpenConnection>(&Each))
    schedule(ReplyTime, ConnectionOpened{Open->Connection_, ReplyTime});
  if (const auto *Probe = std::get_if<ProbeTarget>(&Each))
    schedule(ReplyTime, ProbeAnswered{.Probe_ = Probe->Probe_,
                                      .Report_ = {},
                                      .StartId_ = framework::Incarnation(1),
                                      .RoundTrip_ = ReplyTime});
  if (const auto *Document = std::get_if<ReadDocument>(&Each))
    replyTo(*Document);
  if (const auto *Instances = std::get_if<ReadInstances>(&Each))
    replyTo(*Instances);
}

void CoreFixture::replyTo(const ReadDocument &Request) {
  if (IsPlatformDown_)
    schedule(ReplyTime, DocumentUnavailable{});
  else if (!Request.NewerThan_ || *Request.NewerThan_ < Document_.Revision_)
    schedule(ReplyTime, Document_);
  else
    schedule(Request.Wait_, DocumentUnchanged{});
}

void CoreFixture::replyTo(const ReadInstances &Request) {
  if (IsPlatformDown_)
    schedule(ReplyTime, InstancesUnavailable{});
  else if (!Request.NewerThan_ || *Request.NewerThan_ < Instances_.Revision_)
    schedule(ReplyTime, Instances_);
  else
    schedule(Request.Wait_, InstancesUnchanged{});
}

void CoreFixture::schedule(framework::Duration Delay, Event Reply) {
  ScheduledEvents_.emplace(Now_.Monotonic_ + Delay, std::move(Reply));
}

} // namespace cranberryspool::decision
