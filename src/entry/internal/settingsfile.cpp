#include "entry/settingsfile.h"

#include "document/objectreader.h"
#include "document/readjson.h"
#include "entry/internal/listen.h"
#include "framework/units.h"

namespace cranberryspool::entry {

namespace {

using namespace std::chrono_literals;
using document::FaultCollector;
using document::FaultKind;
using document::JsonTree;
using document::ObjectReader;
using document::Range;
using framework::Duration;
using SettingsResult =
    framework::Result<EntrySettings, document::DocumentFaults>;

constexpr Range<Duration> AllowedTimeout{10ms, 10min};
constexpr Range<Duration> AllowedWait{100ms, 5min};
constexpr Range<Duration> AllowedLinger{0s, 5min};
constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
constexpr Range<std::size_t> AllowedHead{1 * KiB, 64 * KiB};
constexpr Range<std::size_t> AllowedBody{1 * KiB, 16 * MiB};
constexpr Range<std::size_t> AllowedSum{1 * MiB, 1024 * MiB};
constexpr Range<std::uint32_t> AllowedConnections{1, 100'000};

Endpoint readEndpoint(ObjectReader &Reader, std::string_view Key) {
  const auto Text = Reader.text(Key);
  if (!Text)
    return {};
  const auto Parsed = parseEndpoint(*Text);
  if (Parsed)
    return Parsed.value();
  Reader.report(Key, FaultKind::InvalidAddress,
                "an IP number and a port, such as \"127.0.0.1:8080\"");
  return {};
}

void readSize(ObjectReader &Reader, std::string_view Key,
              Range<std::size_t> Allowed, std::size_t &Value) {
  if (!Reader.has(Key))
    return;
  const auto Text = Reader.text(Key);
  if (!Text)
    return;
  const std::string Expected = "a whole number with B, KiB or MiB, \"" +
                               framework::sizeText(Allowed.Min_) + "\" to \"" +
                               framework::sizeText(Allowed.Max_) + "\"";
  const auto Bytes = framework::parseSize(*Text);
  if (!Bytes) {
    Reader.report(Key, FaultKind::InvalidSize, Expected);
    return;
  }
  if (*Bytes < Allowed.Min_ || *Bytes > Allowed.Max_) {
    Reader.report(Key, FaultKind::OutOfRange, Expected);
    return;
  }
  Value = *Bytes;
}

void readDuration(ObjectReader &Reader, std::string_view Key,
                  Range<Duration> Allowed, Duration &Value) {
  if (Reader.has(Key))
    Value = Reader.duration(Key, Allowed);
}

void readLimits(ObjectReader &Reader, EntryLimits &Limits) {
  readSize(Reader, "head-bytes", AllowedHead, Limits.HeadBytes_);
  readSize(Reader, "body-bytes", AllowedBody, Limits.BodyBytes_);
  readSize(Reader, "request-bytes", AllowedSum, Limits.RequestBytes_);
  readSize(Reader, "answer-bytes", AllowedSum, Limits.AnswerBytes_);
  readSize(Reader, "kept-answer-bytes", AllowedSum, Limits.KeptAnswerBytes_);
  if (Reader.has("caller-connections"))
    Limits.CallerConnections_ =
        Reader.number("caller-connections", AllowedConnections);
  readDuration(Reader, "head-timeout", AllowedTimeout, Limits.HeadTimeout_);
  readDuration(Reader, "body-timeout", AllowedTimeout, Limits.BodyTimeout_);
  readDuration(Reader, "idle-timeout", AllowedTimeout, Limits.IdleTimeout_);
  readDuration(Reader, "write-timeout", AllowedTimeout, Limits.WriteTimeout_);
  readDuration(Reader, "connect-timeout", AllowedTimeout,
               Limits.ConnectTimeout_);
  readDuration(Reader, "platform-timeout", AllowedWait,
               Limits.PlatformTimeout_);
  Reader.finish();
}

EntrySettings readSettings(const JsonTree &Tree, FaultCollector &Faults) {
  ObjectReader Reader(Tree, {JsonTree::root(), ""}, Faults);
  EntrySettings Settings;
  Settings.Name_ = framework::InstanceName(Reader.name("name"));
  Settings.Zone_ = framework::ZoneName(Reader.name("zone"));
  Settings.CallerListen_ = readEndpoint(Reader, "caller-listen");
  Settings.PeerListen_ = readEndpoint(Reader, "peer-listen");
  Settings.OperatorListen_ = readEndpoint(Reader, "operator-listen");
  if (const auto Platform = Reader.object("platform")) {
    ObjectReader Inner(Tree, *Platform, Faults);
    Settings.DocumentService_ = readEndpoint(Inner, "document");
    Settings.InstanceList_ = readEndpoint(Inner, "instances");
    Inner.finish();
  }
  if (Reader.has("limits")) {
    ObjectReader Inner(Tree, *Reader.object("limits"), Faults);
    readLimits(Inner, Settings.Limits_);
  }
  if (Reader.has("stop")) {
    ObjectReader Inner(Tree, *Reader.object("stop"), Faults);
    readDuration(Inner, "linger", AllowedLinger, Settings.StopLinger_);
    Inner.finish();
  }
  Reader.finish();
  return Settings;
}

} // namespace

SettingsResult parseSettings(std::string_view Text) {
  FaultCollector Faults;
  const auto Tree = document::readJson(Text, document::PositionMode::With);
  if (!Tree) {
    const document::JsonParseError &Failure = Tree.error();
    Faults.add(Failure.Offset_,
               {Failure.Kind_, "", 0, 0, Failure.Expected_, ""});
    return framework::failure(Faults.take(Text));
  }
  EntrySettings Settings = readSettings(Tree.value(), Faults);
  if (!Faults.isEmpty())
    return framework::failure(Faults.take(Text));
  return Settings;
}

} // namespace cranberryspool::entry
