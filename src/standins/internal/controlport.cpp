#include "standins/controlport.h"

#include <boost/json.hpp>

#include <set>
#include <utility>

namespace cranberryspool::standins {

namespace json = boost::json;

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;

std::string text(const json::object &Command, std::string_view Name) {
  const json::value *Value = Command.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

double number(const json::object &Command, std::string_view Name,
              double Default) {
  const json::value *Value = Command.if_contains(Name);
  return Value && Value->is_number() ? Value->to_number<double>() : Default;
}

bool flag(const json::object &Command, std::string_view Name) {
  const json::value *Value = Command.if_contains(Name);
  return Value && Value->is_bool() && Value->as_bool();
}

framework::Duration millis(const json::object &Command, std::string_view Name) {
  const double Value = number(Command, Name, 0) * 1000.0;
  return framework::Duration(static_cast<std::int64_t>(Value));
}

std::set<std::string> texts(const json::object &Command,
                            std::string_view Name) {
  std::set<std::string> Result;
  const json::value *Given = Command.if_contains(Name);
  if (!Given || !Given->is_array())
    return Result;
  for (const json::value &Entry : Given->as_array())
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
    return PlatformMode::Back;
  return std::nullopt;
}

TargetFaults parseFaults(const json::object &Command) {
  TargetFaults Faults;
  Faults.SlowFactor_ = number(Command, "slow-factor", 1.0);
  Faults.IsFailingFast_ = flag(Command, "failing-fast");
  Faults.IsCrossing_ = flag(Command, "crossing");
  Faults.IsTruncating_ = flag(Command, "truncating");
  Faults.IsReportMisleading_ = flag(Command, "misleading");
  Faults.IsDraining_ = flag(Command, "draining");
  Faults.AnswerDelay_ = millis(Command, "answer-delay-ms");
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
          {"over-cold", Counters.OverCold_},
          {"max-cold-in-flight", Counters.MaxColdInFlight_},
          {"max-connections", Target.server().maxConnectionCount()},
          {"refused-connections", Target.server().refusedConnectionCount()}};
}

} // namespace

ControlPort::ControlPort(boost::asio::io_context &Context,
                         const boost::asio::ip::tcp::endpoint &Address,
                         Deployment *Behind, CallerStandin *Callers,
                         std::function<void()> OnExit)
    : Behind_(Behind), Callers_(Callers), OnExit_(std::move(OnExit)),
      Server_(
          Context, Address,
          [this](SessionId Session, const HttpRequest &Request) {
            receive(Session, Request);
          },
          [](SessionId) {}) {}

void ControlPort::receive(SessionId Session, const HttpRequest &Request) {
  HttpResponse Response;
  if (Request.Method_ == "GET") {
    const std::optional<std::string> Text = read(Request.Target_);
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

bool ControlPort::runCommand(const json::object &Command) {
  const std::string Name = text(Command, "do");
  if (Name == "exit") {
    OnExit_();
    return true;
  }
  if (Behind_ && runPlatformCommand(Name, Command))
    return true;
  if (Behind_ && runTargetCommand(Name, Command))
    return true;
  return Callers_ && runCallerCommand(Name, Command);
}

bool ControlPort::runPlatformCommand(const std::string &Name,
                                     const json::object &Command) {
  PlatformStandin &Platform = Behind_->platform();
  if (Name == "publish-document") {
    Platform.publishDocument(text(Command, "text"));
    return true;
  }
  if (Name == "document-mode" || Name == "instances-mode") {
    const std::optional<PlatformMode> Mode = parseMode(text(Command, "mode"));
    if (!Mode)
      return false;
    if (Name == "document-mode")
      Platform.setDocumentMode(*Mode);
    else
      Platform.setInstancesMode(*Mode);
    return true;
  }
  if (Name == "block-readers") {
    Platform.setBlockedReaders(texts(Command, "names"));
    return true;
  }
  if (Name == "part") {
    Behind_->link().part(texts(Command, "names"));
    return true;
  }
  if (Name == "remove-instance") {
    Platform.removeInstance(framework::InstanceName(text(Command, "name")));
    return true;
  }
  if (Name != "set-instance")
    return false;
  document::PublishedInstance Entry;
  Entry.Name_ = framework::InstanceName(text(Command, "name"));
  Entry.Zone_ = framework::ZoneName(text(Command, "zone"));
  Entry.Address_ = text(Command, "address");
  Entry.IsLeaving_ = text(Command, "state") == "leaving";
  Platform.setInstance(Entry);
  return true;
}

bool ControlPort::runTargetCommand(const std::string &Name,
                                   const json::object &Command) {
  const std::string Selection = text(Command, "targets");
  if (Selection.empty())
    return false;
  const std::set<std::string> Known = {"faults", "restart-cold", "silence",
                                       "leave", "return"};
  if (!Known.count(Name))
    return false;
  for (TargetStandin *Target : Behind_->select(Selection)) {
    if (Name == "faults")
      Target->setFaults(parseFaults(Command));
    else if (Name == "restart-cold")
      Target->restartCold();
    else if (Name == "silence")
      Target->silenceConnections();
    else
      Behind_->publishTarget(*Target, Name == "leave");
  }
  return true;
}

bool ControlPort::runCallerCommand(const std::string &Name,
                                   const json::object &Command) {
  if (Name == "start-callers")
    Callers_->start();
  else if (Name == "stop-callers")
    Callers_->stopArrivals();
  else if (Name == "phase")
    Callers_->setPhase(text(Command, "name"));
  else if (Name == "rate")
    Callers_->setRateFactor(text(Command, "stream"),
                            number(Command, "factor", 1.0));
  else
    return false;
  return true;
}

std::optional<std::string> ControlPort::read(const std::string &Path) const {
  if (Path == "/counters" && Behind_)
    return readCounters();
  if (Path == "/runs" && Behind_)
    return readRuns();
  if (Path == "/calls" && Callers_)
    return readCalls();
  if (Path == "/under-way" && Callers_)
    return std::to_string(Callers_->inFlightCallCount());
  return std::nullopt;
}

std::string ControlPort::readCounters() const {
  json::array Targets;
  for (const auto &Target : Behind_->targets())
    Targets.push_back(toJson(*Target));
  const PlatformStandin &Platform = Behind_->platform();
  return json::serialize(json::object{
      {"targets", std::move(Targets)},
      {"platform-calls", Platform.callCount()},
      {"platform-refused", Platform.refusedCount()},
      {"platform-max-calls-in-second", Platform.maxCallsInSecond()},
      {"document-revision", Platform.documentRevision()}});
}

std::string ControlPort::readRuns() const {
  json::object Runs;
  for (const auto &[Call, Count] : Behind_->record().runs())
    Runs[Call] = Count;
  return json::serialize(Runs);
}

std::string ControlPort::readCalls() const {
  json::array Calls;
  for (const CallRecord &Record : Callers_->records())
    Calls.push_back(json::array{
        Record.Call_, Callers_->settings().Streams_[Record.Stream_].Name_,
        Callers_->phases()[Record.Phase_], Record.Ending_, Record.Reason_,
        Record.Status_, Record.Latency_.count(), Record.Overhead_.count(),
        Record.Address_, Callers_->phases()[Record.EndPhase_]});
  return json::serialize(Calls);
}

} // namespace cranberryspool::standins
