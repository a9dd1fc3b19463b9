#include "standins/controlserver.h"

#include <boost/json.hpp>

#include <set>
#include <utility>

namespace cranberryspool::standins {

namespace json = boost::json;

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;

std::string stringMember(const json::object &Command, std::string_view Name) {
  const json::value *Value = Command.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

double numberMember(const json::object &Command, std::string_view Name,
                    double Default) {
  const json::value *Value = Command.if_contains(Name);
  return Value && Value->is_number() ? Value->to_number<double>() : Default;
}

bool boolMember(const json::object &Command, std::string_view Name) {
  const json::value *Value = Command.if_contains(Name);
  return Value && Value->is_bool() && Value->as_bool();
}

framework::Duration durationMember(const json::object &Command,
                                   std::string_view Name) {
  const double Value = numberMember(Command, Name, 0) * 1000.0;
  return framework::Duration(static_cast<std::int64_t>(Value));
}

std::set<std::string> stringSetMember(const json::object &Command,
                                      std::string_view Name) {
  std::set<std::string> Result;
  const json::value *Member = Command.if_contains(Name);
  if (!Member || !Member->is_array())
    return Result;
  for (const json::value &Entry : Member->as_array())
    if (Entry.is_string())
      Result.insert(std::string(Entry.as_string()));
  return Result;
}

std::optional<PlatformMode> parseMode(const std::string &Name) {
  if (Name == "up")
    return PlatformMode::Up;
  if (Name == "down")
    return PlatformMode::Down;
  if (Name == "stale")
    return PlatformMode::Stale;
  if (Name == "back")
    return PlatformMode::RolledBack;
  return std::nullopt;
}

TargetFaults parseFaults(const json::object &Command) {
  TargetFaults Faults;
  Faults.SlowFactor_ = numberMember(Command, "slow-factor", 1.0);
  Faults.IsFailingFast_ = boolMember(Command, "failing-fast");
  Faults.IsSwappingResponses_ = boolMember(Command, "crossing");
  Faults.IsTruncatingResponses_ = boolMember(Command, "truncating");
  Faults.IsReportingIdle_ = boolMember(Command, "misleading");
  Faults.IsDraining_ = boolMember(Command, "draining");
  Faults.ResponseDelay_ = durationMember(Command, "answer-delay-ms");
  return Faults;
}

json::object toJson(const TargetStandin &Target) {
  const TargetCounters &Counters = Target.counters();
  return {{"name", Target.settings().Name_.value()},
          {"zone", Target.settings().Zone_.value()},
          {"requests", Counters.Requests_},
          {"runs", Counters.Runs_},
          {"shed", Counters.Shed_},
          {"cancelled", Counters.Cancelled_},
          {"expired", Counters.Expired_},
          {"probes", Counters.Probes_},
          {"keys-received", Counters.KeysReceived_},
          {"over-cold", Counters.ColdOverloads_},
          {"max-cold-in-flight", Counters.MaxColdInFlight_},
          {"max-connections", Target.server().maxConnectionCount()},
          {"refused-connections", Target.server().refusedConnectionCount()}};
}

} // namespace

ControlServer::ControlServer(boost::asio::io_context &Context,
                             const boost::asio::ip::tcp::endpoint &Address,
                             Deployment *Upstream, CallerStandin *Callers,
                             std::function<void()> OnExit)
    : Upstream_(Upstream), Callers_(Callers), OnExit_(std::move(OnExit)),
      Server_(
          Context, Address,
          [this](SessionId Session, const HttpRequest &Request) {
            handleRequest(Session, Request);
          },
          [](SessionId) {}) {}

void ControlServer::handleRequest(SessionId Session,
                                  const HttpRequest &Request) {
  HttpResponse Response;
  if (Request.Method_ == "GET") {
    const std::optional<std::string> Text = get(Request.Target_);
    Response.Status_ = Text ? Response.Status_ : StatusNotFound;
    Response.Body_ = Text.value_or("");
    return Server_.respond(Session, Response);
  }
  boost::system::error_code Error;
  const json::value Command = json::parse(Request.Body_, Error);
  if (Error || !Command.is_object() || !runCommand(Command.as_object()))
    Response.Status_ = StatusBadRequest;
  Server_.respond(Session, Response);
}

bool ControlServer::runCommand(const json::object &Command) {
  const std::string Name = stringMember(Command, "do");
  if (Name == "exit") {
    OnExit_();
    return true;
  }
  if (Upstream_ && runPlatformCommand(Name, Command))
    return true;
  if (Upstream_ && runTargetCommand(Name, Command))
    return true;
  return Callers_ && runCallerCommand(Name, Command);
}

bool ControlServer::runPlatformCommand(const std::string &Name,
                                       const json::object &Command) {
  PlatformStandin &Platform = Upstream_->platform();
  if (Name == "publish-document") {
    Platform.publishDocument(stringMember(Command, "text"));
    return true;
  }
  if (Name == "document-mode" || Name == "instances-mode") {
    const std::optional<PlatformMode> Mode =
        parseMode(stringMember(Command, "mode"));
    if (!Mode)
      return false;
    if (Name == "document-mode")
      Platform.setDocumentMode(*Mode);
    else
      Platform.setInstancesMode(*Mode);
    return true;
  }
  if (Name == "block-readers") {
    Platform.setBlockedReaders(stringSetMember(Command, "names"));
    return true;
  }
  if (Name == "part") {
    Upstream_->peerNetwork().partition(stringSetMember(Command, "names"));
    return true;
  }
  if (Name == "remove-instance") {
    Platform.removeInstance(
        framework::InstanceName(stringMember(Command, "name")));
    return true;
  }
  if (Name != "set-instance")
    return false;
  document::PublishedInstance Entry;
  Entry.Name_ = framework::InstanceName(stringMember(Command, "name"));
  Entry.Zone_ = framework::ZoneName(stringMember(Command, "zone"));
  Entry.Address_ = stringMember(Command, "address");
  Entry.IsLeaving_ = stringMember(Command, "state") == "leaving";
  Platform.setInstance(Entry);
  return true;
}

bool ControlServer::runTargetCommand(const std::string &Name,
                                     const json::object &Command) {
  const std::string Selection = stringMember(Command, "targets");
  if (Selection.empty())
    return false;
  const std::set<std::string> KnownCommands = {"faults", "restart-cold",
                                               "silence", "leave", "return"};
  if (!KnownCommands.count(Name))
    return false;
  for (TargetStandin *Target : Upstream_->selectTargets(Selection)) {
    if (Name == "faults")
      Target->setFaults(parseFaults(Command));
    else if (Name == "restart-cold")
      Target->restartCold();
    else if (Name == "silence")
      Target->stallConnections();
    else
      Upstream_->publishTarget(*Target, Name == "leave");
  }
  return true;
}

bool ControlServer::runCallerCommand(const std::string &Name,
                                     const json::object &Command) {
  if (Name == "start-callers")
    Callers_->start();
  else if (Name == "stop-callers")
    Callers_->stopArrivals();
  else if (Name == "phase")
    Callers_->setPhase(stringMember(Command, "name"));
  else if (Name == "rate")
    Callers_->setRateFactor(stringMember(Command, "stream"),
                            numberMember(Command, "factor", 1.0));
  else
    return false;
  return true;
}

std::optional<std::string> ControlServer::get(const std::string &Path) const {
  if (Path == "/counters" && Upstream_)
    return countersJson();
  if (Path == "/runs" && Upstream_)
    return runsJson();
  if (Path == "/workspaces" && Upstream_)
    return workspacesJson();
  if (Path == "/calls" && Callers_)
    return callsJson();
  if (Path == "/under-way" && Callers_)
    return std::to_string(Callers_->inFlightCallCount());
  return std::nullopt;
}

std::string ControlServer::countersJson() const {
  json::array Targets;
  for (const auto &Target : Upstream_->targets())
    Targets.push_back(toJson(*Target));
  const PlatformStandin &Platform = Upstream_->platform();
  return json::serialize(json::object{
      {"targets", std::move(Targets)},
      {"platform-calls", Platform.callCount()},
      {"platform-refused", Platform.refusedCount()},
      {"platform-max-calls-in-second", Platform.maxCallsInSecond()},
      {"document-revision", Platform.documentRevision()}});
}

std::string ControlServer::runsJson() const {
  json::object Runs;
  for (const auto &[Call, Count] : Upstream_->record().runs())
    Runs[Call] = Count;
  return json::serialize(Runs);
}

std::string ControlServer::workspacesJson() const {
  json::object Workspaces;
  for (const auto &[Call, Names] : Upstream_->record().workspaces())
    Workspaces[Call] = json::array(Names.begin(), Names.end());
  return json::serialize(Workspaces);
}

std::string ControlServer::callsJson() const {
  json::array Calls;
  for (const CallRecord &Record : Callers_->records())
    Calls.push_back(json::array{
        Record.Call_, Callers_->settings().Streams_[Record.Stream_].Name_,
        Callers_->phases()[Record.Phase_], Record.Ending_, Record.Reason_,
        Record.Status_, Record.Latency_.count(), Record.Overhead_.count(),
        Record.Address_, Callers_->phases()[Record.EndPhase_], Record.Key_,
        Record.SentAt_.count()});
  return json::serialize(Calls);
}

} // namespace cranberryspool::standins
