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

constexpr Range<Duration> TimeoutRange{10ms, 10min};
constexpr Range<Duration> PlatformTimeoutRange{100ms, 5min};
constexpr Range<Duration> StopLingerRange{0s, 5min};
constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
constexpr Range<std::size_t> HeadBytesRange{1 * KiB, 64 * KiB};
constexpr Range<std::size_t> BodyBytesRange{1 * KiB, 16 * MiB};
constexpr Range<std::size_t> TotalBytesRange{1 * MiB, 1024 * MiB};
constexpr Range<std::uint32_t> ConnectionsRange{1, 100'000};

Endpoint readEndpoint(ObjectReader &Reader, std::string_view Key) {
  const auto Text = Reader.text(Key);
  if (!Text)
    return {};
  const auto Parsed = parseEndpoint(*Text);
  if (Parsed)
    return Parsed.value();
  Reader.report(Key, FaultKind::InvalidAddress,
                "an IP address and a port, such as \"127.0.0.1:8080\"");
  return {};
}

void readSize(ObjectReader &Reader, std::string_view Key,
              Range<std::size_t> AllowedRange, std::size_t &Value) {
  if (!Reader.has(Key))
    return;
  const auto Text = Reader.text(Key);
  if (!Text)
    return;
  const std::string Expected = "a whole number with B, KiB or MiB, \"" +
                               framework::sizeText(AllowedRange.Min_) +
                               "\" to \"" +
                               framework::sizeText(AllowedRange.Max_) + "\"";
  const auto Bytes = framework::parseSize(*Text);
  if (!Bytes) {
    Reader.report(Key, FaultKind::InvalidSize, Expected);
    return;
  }
  if (*Bytes < AllowedRange.Min_ || *Bytes > AllowedRange.Max_) {
    Reader.report(Key, FaultKind::OutOfRange, Expected);
    return;
  }
  Value = *Bytes;
}

void readDuration(ObjectReader &Reader, std::string_view Key,
                  Range<Duration> AllowedRange, Duration &Value) {
  if (Reader.has(Key))
    Value = Reader.duration(Key, AllowedRange);
}

void readLimits(ObjectReader &Reader, EntryLimits &Limits) {
  readSize(Reader, "head-bytes", HeadBytesRange, Limits.HeadBytes_);
  readSize(Reader, "body-bytes", BodyBytesRange, Limits.BodyBytes_);
  readSize(Reader, "request-bytes", TotalBytesRange, Limits.RequestBytes_);
  readSize(Reader, "answer-bytes", TotalBytesRange, Limits.ResponseBytes_);
  readSize(Reader, "input-bytes", TotalBytesRange, Limits.InputBytes_);
  readSize(Reader, "kept-answer-bytes", TotalBytesRange,
           Limits.StoredResponseBytes_);
  if (Reader.has("caller-connections"))
    Limits.CallerConnections_ =
        Reader.number("caller-connections", ConnectionsRange);
  readDuration(Reader, "head-timeout", TimeoutRange, Limits.HeadTimeout_);
  readDuration(Reader, "body-timeout", TimeoutRange, Limits.BodyTimeout_);
  readDuration(Reader, "idle-timeout", TimeoutRange, Limits.IdleTimeout_);
  readDuration(Reader, "write-timeout", TimeoutRange, Limits.WriteTimeout_);
  readDuration(Reader, "connect-timeout", TimeoutRange, Limits.ConnectTimeout_);
  readDuration(Reader, "platform-timeout", PlatformTimeoutRange,
               Limits.PlatformTimeout_);
  Reader.finish();
}

EntrySettings readSettings(const JsonTree &Tree, FaultCollector &Errors) {
  ObjectReader Reader(Tree, {JsonTree::root(), ""}, Errors);
  EntrySettings Settings;
  Settings.Name_ = framework::InstanceName(Reader.name("name"));
  Settings.Zone_ = framework::ZoneName(Reader.name("zone"));
  Settings.CallerListen_ = readEndpoint(Reader, "caller-listen");
  Settings.PeerListen_ = readEndpoint(Reader, "peer-listen");
  Settings.OperatorListen_ = readEndpoint(Reader, "operator-listen");
  if (const auto Platform = Reader.object("platform")) {
    ObjectReader SectionReader(Tree, *Platform, Errors);
    Settings.DocumentService_ = readEndpoint(SectionReader, "document");
    Settings.InstanceList_ = readEndpoint(SectionReader, "instances");
    SectionReader.finish();
  }
  if (Reader.has("limits")) {
    ObjectReader SectionReader(Tree, *Reader.object("limits"), Errors);
    readLimits(SectionReader, Settings.Limits_);
  }
  if (Reader.has("stop")) {
    ObjectReader SectionReader(Tree, *Reader.object("stop"), Errors);
    readDuration(SectionReader, "linger", StopLingerRange,
                 Settings.StopLinger_);
    SectionReader.finish();
  }
  Reader.finish();
  return Settings;
}

} // namespace

SettingsResult parseSettings(std::string_view Text) {
  FaultCollector Errors;
  const auto Tree = document::readJson(Text, document::PositionMode::With);
  if (!Tree) {
    const document::JsonParseError &Failure = Tree.error();
    Errors.add(Failure.Offset_,
               {Failure.Kind_, "", 0, 0, Failure.Expected_, ""});
    return framework::failure(Errors.take(Text));
  }
  EntrySettings Settings = readSettings(Tree.value(), Errors);
  if (!Errors.isEmpty())
    return framework::failure(Errors.take(Text));
  return Settings;
}

} // namespace cranberryspool::entry
