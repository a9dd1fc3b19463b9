#include "standins/standinsettings.h"

#include "document/blankcomments.h"

#include <boost/json.hpp>

#include <utility>

namespace cranberryspool::standins {

namespace json = boost::json;

namespace {

/// Reads the members of a JSON object and records the first error.
class JsonObjectReader {
public:
  JsonObjectReader(const json::object &Object,
                   std::optional<SettingsError> &FirstError)
      : Object_(Object), FirstError_(FirstError) {}

  std::string string(std::string_view Name) {
    const json::value *Value = find(Name);
    if (!Value)
      return {};
    if (!Value->is_string()) {
      recordError(SettingsError::Kind::WrongType, Name);
      return {};
    }
    return std::string(Value->as_string());
  }

  std::string stringOr(std::string_view Name, std::string Default) {
    return Object_.contains(Name) ? string(Name) : std::move(Default);
  }

  double number(std::string_view Name) {
    const json::value *Value = find(Name);
    if (!Value)
      return 0;
    if (!Value->is_number()) {
      recordError(SettingsError::Kind::WrongType, Name);
      return 0;
    }
    return Value->to_number<double>();
  }

  double numberOr(std::string_view Name, double Default) {
    return Object_.contains(Name) ? number(Name) : Default;
  }

  framework::Duration milliseconds(std::string_view Name) {
    const double Micros = numberOr(Name, 0) * 1000.0;
    return framework::Duration(static_cast<std::int64_t>(Micros));
  }

  bool boolean(std::string_view Name) {
    const json::value *Value = Object_.if_contains(Name);
    return Value && Value->is_bool() && Value->as_bool();
  }

  /// Calls `Read` with a `JsonObjectReader` for each object in an array.
  template <typename Reader>
  void forEachObject(std::string_view Name, Reader Read) {
    const json::value *Value = Object_.if_contains(Name);
    if (!Value)
      return;
    if (!Value->is_array())
      return recordError(SettingsError::Kind::WrongType, Name);
    for (const json::value &Entry : Value->as_array()) {
      if (!Entry.is_object())
        return recordError(SettingsError::Kind::WrongType, Name);
      Read(JsonObjectReader(Entry.as_object(), FirstError_));
    }
  }

  std::vector<std::string> stringArray(std::string_view Name) {
    std::vector<std::string> Strings;
    const json::value *Value = Object_.if_contains(Name);
    if (!Value || !Value->is_array())
      return Strings;
    for (const json::value &Entry : Value->as_array())
      if (Entry.is_string())
        Strings.emplace_back(Entry.as_string());
    return Strings;
  }

private:
  const json::value *find(std::string_view Name) {
    const json::value *Value = Object_.if_contains(Name);
    if (!Value)
      recordError(SettingsError::Kind::MissingMember, Name);
    return Value;
  }

  void recordError(SettingsError::Kind Kind, std::string_view Name) {
    if (!FirstError_)
      FirstError_ = SettingsError{Kind, std::string(Name)};
  }

  const json::object &Object_;
  std::optional<SettingsError> &FirstError_;
};

std::uint32_t toUint32(double Value) {
  return static_cast<std::uint32_t>(Value);
}

TargetSettings readTarget(JsonObjectReader Reader) {
  TargetSettings Target;
  Target.Name_ = framework::InstanceName(Reader.string("name"));
  Target.Group_ = framework::GroupName(Reader.string("group"));
  Target.Zone_ = framework::ZoneName(Reader.string("zone"));
  Target.Address_ = Reader.string("address");
  Target.Slots_ = toUint32(Reader.number("slots"));
  Target.ConnectionLimit_ = toUint32(Reader.number("connections"));
  Target.QueueLimit_ = toUint32(Reader.numberOr("queue", Target.QueueLimit_));
  Target.MeanServiceTime_ = Reader.milliseconds("mean-ms");
  Target.ConnectionSetupTime_ = Reader.milliseconds("connect-ms");
  Target.ProbeTime_ = Reader.milliseconds("probe-ms");
  Target.ColdInFlight_ = toUint32(Reader.numberOr("cold-in-flight", 1));
  Target.Warmup_ = Reader.milliseconds("warmup-ms");
  Target.ReportLag_ = Reader.milliseconds("report-lag-ms");
  return Target;
}

document::PublishedInstance readInstance(JsonObjectReader Reader) {
  document::PublishedInstance Instance;
  Instance.Name_ = framework::InstanceName(Reader.string("name"));
  Instance.Zone_ = framework::ZoneName(Reader.string("zone"));
  Instance.Address_ = Reader.string("address");
  return Instance;
}

DeploymentSettings readDeployment(JsonObjectReader Reader) {
  DeploymentSettings Settings;
  Settings.PlatformAddress_ = Reader.string("platform");
  Settings.PlatformCallsPerSecond_ = toUint32(Reader.numberOr(
      "platform-calls-per-second", Settings.PlatformCallsPerSecond_));
  Settings.ListLag_ = Reader.milliseconds("list-lag-ms");
  Settings.Document_ = Reader.string("document");
  Reader.forEachObject("targets", [&Settings](JsonObjectReader Entry) {
    Settings.Targets_.push_back(readTarget(Entry));
  });
  Reader.forEachObject("instances", [&Settings](JsonObjectReader Entry) {
    Settings.Instances_.push_back(readInstance(Entry));
  });
  Reader.forEachObject("link", [&Settings](JsonObjectReader Entry) {
    Settings.PeerNetwork_.push_back(PeerEndpoint{
        Entry.string("name"), Entry.string("published"), Entry.string("real")});
  });
  return Settings;
}

CallerStream readStream(JsonObjectReader Reader) {
  CallerStream Stream;
  Stream.Name_ = Reader.string("name");
  Stream.Method_ = Reader.string("method");
  Stream.Path_ = Reader.string("path");
  Stream.Rate_ = Reader.number("rate");
  Stream.Priority_ = Reader.stringOr("priority", "");
  Stream.Timeout_ = Reader.milliseconds("timeout-ms");
  Stream.HasIdempotencyKey_ = Reader.boolean("keyed");
  Stream.BodyBytes_ =
      static_cast<std::size_t>(Reader.numberOr("body-bytes", 0));
  Stream.DirectTargets_ = Reader.stringArray("direct-to");
  return Stream;
}

CallerSettings readCallers(JsonObjectReader Reader) {
  CallerSettings Settings;
  Settings.Seed_ = static_cast<std::uint64_t>(Reader.numberOr("seed", 1));
  Settings.Keys_ = Reader.stringArray("keys");
  Reader.forEachObject("entries", [&Settings](JsonObjectReader Entry) {
    Settings.Instances_.push_back(
        InstanceAddress{Entry.string("caller"), Entry.string("operator")});
  });
  Reader.forEachObject("streams", [&Settings](JsonObjectReader Entry) {
    Settings.Streams_.push_back(readStream(Entry));
  });
  return Settings;
}

} // namespace

framework::Result<StandinSettings, SettingsError>
parseStandinSettings(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Root = json::parse(document::blankComments(Text), Error);
  if (Error || !Root.is_object())
    return SettingsError{};
  std::optional<SettingsError> FirstError;
  const json::object &Object = Root.as_object();
  StandinSettings Settings;
  Settings.ControlAddress_ =
      JsonObjectReader(Object, FirstError).string("control");
  const json::value *DeploymentMember = Object.if_contains("deployment");
  if (DeploymentMember && DeploymentMember->is_object())
    Settings.Deployment_ = readDeployment(
        JsonObjectReader(DeploymentMember->as_object(), FirstError));
  const json::value *CallersMember = Object.if_contains("callers");
  if (CallersMember && CallersMember->is_object())
    Settings.Callers_ =
        readCallers(JsonObjectReader(CallersMember->as_object(), FirstError));
  if (FirstError)
    return *FirstError;
  return Settings;
}

} // namespace cranberryspool::standins
