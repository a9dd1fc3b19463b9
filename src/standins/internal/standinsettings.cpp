#include "standins/standinsettings.h"

#include "document/blankcomments.h"

#include <boost/json.hpp>

#include <utility>

namespace cranberryspool::standins {

namespace json = boost::json;

namespace {

/// Reads members of an object and remembers the first failure.
class MemberReader {
public:
  MemberReader(const json::object &Object, std::optional<SettingsFailure> &Bad)
      : Object_(Object), Bad_(Bad) {}

  std::string text(std::string_view Name) {
    const json::value *Value = find(Name);
    if (!Value)
      return {};
    if (!Value->is_string()) {
      refuse(SettingsFailure::Kind::WrongType, Name);
      return {};
    }
    return std::string(Value->as_string());
  }

  std::string textOr(std::string_view Name, std::string Default) {
    return Object_.contains(Name) ? text(Name) : std::move(Default);
  }

  double number(std::string_view Name) {
    const json::value *Value = find(Name);
    if (!Value)
      return 0;
    if (!Value->is_number()) {
      refuse(SettingsFailure::Kind::WrongType, Name);
      return 0;
    }
    return Value->to_number<double>();
  }

  double numberOr(std::string_view Name, double Default) {
    return Object_.contains(Name) ? number(Name) : Default;
  }

  framework::Duration millis(std::string_view Name) {
    const double Micros = numberOr(Name, 0) * 1000.0;
    return framework::Duration(static_cast<std::int64_t>(Micros));
  }

  bool flag(std::string_view Name) {
    const json::value *Value = Object_.if_contains(Name);
    return Value && Value->is_bool() && Value->as_bool();
  }

  /// Calls `Read` with a reader of each object of an array.
  template <typename Reader> void each(std::string_view Name, Reader Read) {
    const json::value *Value = Object_.if_contains(Name);
    if (!Value)
      return;
    if (!Value->is_array())
      return refuse(SettingsFailure::Kind::WrongType, Name);
    for (const json::value &Entry : Value->as_array()) {
      if (!Entry.is_object())
        return refuse(SettingsFailure::Kind::WrongType, Name);
      Read(MemberReader(Entry.as_object(), Bad_));
    }
  }

  std::vector<std::string> texts(std::string_view Name) {
    std::vector<std::string> Result;
    const json::value *Value = Object_.if_contains(Name);
    if (!Value || !Value->is_array())
      return Result;
    for (const json::value &Entry : Value->as_array())
      if (Entry.is_string())
        Result.emplace_back(Entry.as_string());
    return Result;
  }

private:
  const json::value *find(std::string_view Name) {
    const json::value *Value = Object_.if_contains(Name);
    if (!Value)
      refuse(SettingsFailure::Kind::MissingMember, Name);
    return Value;
  }

  void refuse(SettingsFailure::Kind Kind, std::string_view Name) {
    if (!Bad_)
      Bad_ = SettingsFailure{Kind, std::string(Name)};
  }

  const json::object &Object_;
  std::optional<SettingsFailure> &Bad_;
};

std::uint32_t whole(double Value) { return static_cast<std::uint32_t>(Value); }

TargetSettings readTarget(MemberReader Reader) {
  TargetSettings Target;
  Target.Name_ = framework::InstanceName(Reader.text("name"));
  Target.Group_ = framework::GroupName(Reader.text("group"));
  Target.Zone_ = framework::ZoneName(Reader.text("zone"));
  Target.Address_ = Reader.text("address");
  Target.Slots_ = whole(Reader.number("slots"));
  Target.ConnectionLimit_ = whole(Reader.number("connections"));
  Target.QueueLimit_ = whole(Reader.numberOr("queue", Target.QueueLimit_));
  Target.MeanServiceTime_ = Reader.millis("mean-ms");
  Target.ConnectionSetupTime_ = Reader.millis("connect-ms");
  Target.ProbeTime_ = Reader.millis("probe-ms");
  Target.ColdInFlight_ = whole(Reader.numberOr("cold-in-flight", 1));
  Target.Warmup_ = Reader.millis("warmup-ms");
  Target.ReportLag_ = Reader.millis("report-lag-ms");
  return Target;
}

document::PublishedInstance readInstance(MemberReader Reader) {
  document::PublishedInstance Instance;
  Instance.Name_ = framework::InstanceName(Reader.text("name"));
  Instance.Zone_ = framework::ZoneName(Reader.text("zone"));
  Instance.Address_ = Reader.text("address");
  return Instance;
}

DeploymentSettings readDeployment(MemberReader Reader) {
  DeploymentSettings Settings;
  Settings.PlatformAddress_ = Reader.text("platform");
  Settings.PlatformCallsPerSecond_ = whole(Reader.numberOr(
      "platform-calls-per-second", Settings.PlatformCallsPerSecond_));
  Settings.ListLag_ = Reader.millis("list-lag-ms");
  Settings.Document_ = Reader.text("document");
  Reader.each("targets", [&Settings](MemberReader Entry) {
    Settings.Targets_.push_back(readTarget(Entry));
  });
  Reader.each("instances", [&Settings](MemberReader Entry) {
    Settings.Instances_.push_back(readInstance(Entry));
  });
  Reader.each("link", [&Settings](MemberReader Entry) {
    Settings.Link_.push_back(LinkEndpoint{
        Entry.text("name"), Entry.text("published"), Entry.text("real")});
  });
  return Settings;
}

CallerStream readStream(MemberReader Reader) {
  CallerStream Stream;
  Stream.Name_ = Reader.text("name");
  Stream.Method_ = Reader.text("method");
  Stream.Path_ = Reader.text("path");
  Stream.Rate_ = Reader.number("rate");
  Stream.Priority_ = Reader.textOr("priority", "");
  Stream.Timeout_ = Reader.millis("timeout-ms");
  Stream.IsKeyed_ = Reader.flag("keyed");
  Stream.BodyBytes_ =
      static_cast<std::size_t>(Reader.numberOr("body-bytes", 0));
  Stream.DirectTo_ = Reader.texts("direct-to");
  return Stream;
}

CallerSettings readCallers(MemberReader Reader) {
  CallerSettings Settings;
  Settings.Seed_ = static_cast<std::uint64_t>(Reader.numberOr("seed", 1));
  Reader.each("entries", [&Settings](MemberReader Entry) {
    Settings.Entries_.push_back(
        EntryAddress{Entry.text("caller"), Entry.text("operator")});
  });
  Reader.each("streams", [&Settings](MemberReader Entry) {
    Settings.Streams_.push_back(readStream(Entry));
  });
  return Settings;
}

} // namespace

framework::Result<StandinSettings, SettingsFailure>
parseStandinSettings(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Root = json::parse(document::blankComments(Text), Error);
  if (Error || !Root.is_object())
    return SettingsFailure{};
  std::optional<SettingsFailure> Bad;
  const json::object &Object = Root.as_object();
  StandinSettings Settings;
  Settings.ControlAddress_ = MemberReader(Object, Bad).text("control");
  const json::value *Behind = Object.if_contains("deployment");
  if (Behind && Behind->is_object())
    Settings.Deployment_ =
        readDeployment(MemberReader(Behind->as_object(), Bad));
  const json::value *Callers = Object.if_contains("callers");
  if (Callers && Callers->is_object())
    Settings.Callers_ = readCallers(MemberReader(Callers->as_object(), Bad));
  if (Bad)
    return *Bad;
  return Settings;
}

} // namespace cranberryspool::standins
