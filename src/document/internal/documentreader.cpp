#include "document/internal/documentreader.h"

#include "document/internal/pathpattern.h"
#include "document/internal/workspacereader.h"

#include <algorithm>
#include <array>

namespace cranberryspool::document {

namespace {

using namespace std::chrono_literals;
using framework::Duration;

constexpr Range<std::uint32_t> AllowedInstances{1, 1'000};
constexpr Range<Duration> AllowedListLag{100ms, 5min};
constexpr Range<std::size_t> AllowedZones{1, 16};
constexpr Range<std::size_t> AllowedServices{1, 128};
constexpr Range<std::size_t> AllowedKinds{1, 64};
constexpr Range<std::size_t> AllowedGroups{1, 64};
constexpr Range<std::size_t> AllowedObjectives{0, 2};
constexpr Range<std::uint32_t> AllowedSlots{1, 10'000};
constexpr std::uint32_t MaxConnections = 100'000;
constexpr Range<std::uint32_t> AllowedProbes{0, 6'000};
constexpr Range<Duration> AllowedWarmup{0s, 1h};
constexpr Range<Duration> AllowedDeadline{1ms, 5min};
constexpr Range<Duration> AllowedLatency{100us, 5min};

constexpr std::array<std::string_view, 7> AllowedMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

const std::vector<EnumEntry<ZoneState>> &zoneStateEntries() {
  static const std::vector<EnumEntry<ZoneState>> Entries = {
      {"in", ZoneState::InService}, {"out", ZoneState::OutOfService}};
  return Entries;
}

const std::vector<EnumEntry<Urgency>> &urgencyEntries() {
  static const std::vector<EnumEntry<Urgency>> Entries = {
      {"urgent", Urgency::Urgent}, {"ordinary", Urgency::Ordinary}};
  return Entries;
}

template <typename Item> void sortByName(std::vector<Item> &Items) {
  std::sort(Items.begin(), Items.end(),
            [](const Item &Left, const Item &Right) {
              return Left.Name_ < Right.Name_;
            });
}

} // namespace

DocumentReader::DocumentReader(const JsonTree &Tree, FaultCollector &Faults)
    : Tree_(Tree), Faults_(Faults) {}

EnvironmentDocument DocumentReader::read() {
  ObjectReader Reader(Tree_, {JsonTree::root(), ""}, Faults_);
  EnvironmentDocument Document;
  Document.MaxInstances_ = Reader.number("max-instances", AllowedInstances);
  MaxInstances_ = Document.MaxInstances_;
  Document.ListLag_ = Reader.duration("list-lag", AllowedListLag);
  for (const JsonLocation &Each : Reader.list("zones", AllowedZones))
    Document.Zones_.push_back(readZone(Each));
  for (const JsonLocation &Each : Reader.list("services", AllowedServices))
    Document.Services_.push_back(readService(Each));
  if (Reader.has("workspaces"))
    Document.Workspaces_ = WorkspaceReader(Tree_, Faults_).read();
  Reader.finish();
  sortByName(Document.Zones_);
  sortByName(Document.Services_);
  return Document;
}

void DocumentReader::checkUnique(ObjectReader &Reader, std::string_view Key,
                                 std::set<std::string> &Names,
                                 const std::string &Name) {
  if (!Name.empty() && !Names.insert(Name).second)
    Reader.report(Key, FaultKind::DuplicateName, "a unique name");
}

Zone DocumentReader::readZone(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_);
  Zone Result;
  Result.Name_ = framework::ZoneName(Reader.name("name"));
  checkUnique(Reader, "name", ZoneNames_, Result.Name_.value());
  Result.State_ =
      Reader.enumValue("state", zoneStateEntries(), ZoneState::InService);
  Reader.finish();
  return Result;
}

Service DocumentReader::readService(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_);
  Service Result;
  KindNames_.clear();
  ObjectiveUrgencies_.clear();
  Result.Name_ = framework::ServiceName(Reader.name("name"));
  checkUnique(Reader, "name", ServiceNames_, Result.Name_.value());
  Result.SlotsPerTarget_ = Reader.number("slots-per-target", AllowedSlots);
  // Each instance needs at least one connection to the target, and each of the
  // concurrent requests needs one.
  const std::uint32_t MinConnections =
      std::max(MaxInstances_, Result.SlotsPerTarget_);
  Result.ConnectionsPerTarget_ =
      Reader.number("connections-per-target", {MinConnections, MaxConnections});
  Result.ProbesPerTargetPerMinute_ =
      Reader.number("probes-per-target-per-minute", AllowedProbes);
  if (const auto ColdStart = Reader.object("cold-start"))
    Result.ColdStart_ = readColdStart(*ColdStart, Result.SlotsPerTarget_);
  for (const JsonLocation &Each : Reader.list("groups", AllowedGroups))
    Result.Groups_.push_back(readGroup(Each));
  for (const JsonLocation &Each : Reader.list("kinds", AllowedKinds))
    Result.Kinds_.push_back(readKind(Each));
  for (const JsonLocation &Each : Reader.list("objectives", AllowedObjectives))
    Result.Objectives_.push_back(readObjective(Each));
  Reader.finish();
  sortByName(Result.Groups_);
  sortByName(Result.Kinds_);
  std::sort(Result.Objectives_.begin(), Result.Objectives_.end(),
            [](const Objective &Left, const Objective &Right) {
              return Left.Urgency_ < Right.Urgency_;
            });
  return Result;
}

ColdStartLimits DocumentReader::readColdStart(const JsonLocation &Location,
                                              std::uint32_t Slots) {
  ObjectReader Reader(Tree_, Location, Faults_);
  ColdStartLimits Result;
  Result.MaxInFlight_ = Reader.number("max-in-flight", {1, Slots});
  Result.Warmup_ = Reader.duration("warmup", AllowedWarmup);
  Reader.finish();
  return Result;
}

TargetGroup DocumentReader::readGroup(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_);
  TargetGroup Result;
  Result.Name_ = framework::GroupName(Reader.name("name"));
  checkUnique(Reader, "name", GroupNames_, Result.Name_.value());
  Result.Zone_ = framework::ZoneName(Reader.name("zone"));
  const std::string &Zone = Result.Zone_.value();
  if (!Zone.empty() && !ZoneNames_.contains(Zone))
    Reader.report("zone", FaultKind::UnknownZone,
                  "the name of a zone in \"zones\"");
  Reader.finish();
  return Result;
}

RequestKind DocumentReader::readKind(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_);
  RequestKind Result;
  Result.Name_ = framework::KindName(Reader.name("name"));
  checkUnique(Reader, "name", KindNames_, Result.Name_.value());
  if (auto Method = Reader.text("method")) {
    Result.Method_ = std::move(*Method);
    checkMethod(Reader, Result.Method_);
  }
  if (auto Path = Reader.text("path")) {
    Result.PathPattern_ = std::move(*Path);
    checkPath(Reader, Result, Location.Pointer_);
  }
  Result.IsIdempotent_ = Reader.flag("idempotent", std::nullopt);
  Result.Urgency_ =
      Reader.enumValue("urgency", urgencyEntries(), Urgency::Ordinary);
  Result.Deadline_ = Reader.duration("deadline", AllowedDeadline);
  Result.IsAnonymousAllowed_ = Reader.flag("anonymous", false);
  Result.IsHedgingAllowed_ = Reader.flag("hedging", false);
  if (Result.IsHedgingAllowed_ && !Result.IsIdempotent_)
    Reader.report("hedging", FaultKind::HedgingNotIdempotent,
                  "false, since the kind is not idempotent");
  Reader.finish();
  return Result;
}

void DocumentReader::checkMethod(ObjectReader &Reader,
                                 const std::string &Method) {
  if (std::find(AllowedMethods.begin(), AllowedMethods.end(), Method) !=
      AllowedMethods.end())
    return;
  std::string Expected = "one of";
  for (const std::string_view Each : AllowedMethods)
    Expected += " " + std::string(Each);
  Reader.report("method", FaultKind::InvalidMethod, Expected);
}

void DocumentReader::checkPath(ObjectReader &Reader, const RequestKind &Kind,
                               const std::string &Pointer) {
  const auto Pattern = parsePathPattern(Kind.PathPattern_);
  if (!Pattern) {
    Reader.report("path", FaultKind::InvalidPath,
                  "a path such as \"/pieces/*\": at most " +
                      std::to_string(MaxPatternSegments) +
                      " segments, each of letters, digits and -._~, or * "
                      "for any one segment, or a final ** for any number of "
                      "segments; no leading underscore");
    return;
  }
  PathTrie &Trie = PathsByMethod_[Kind.Method_];
  if (const auto Overlap = Trie.findOverlap(*Pattern)) {
    Reader.report("path", FaultKind::OverlappingPaths,
                  "a path that does not overlap with that of " +
                      KindPointers_[Overlap->Kind_.value()]);
    return;
  }
  const auto Ordinal = static_cast<std::uint32_t>(KindPointers_.size());
  KindPointers_.push_back(Pointer);
  Trie.insert(*Pattern, {ServicePosition(0), KindPosition(Ordinal)});
}

Objective DocumentReader::readObjective(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_);
  Objective Result;
  Result.Urgency_ =
      Reader.enumValue("urgency", urgencyEntries(), Urgency::Ordinary);
  const bool IsUrgent = Result.Urgency_ == Urgency::Urgent;
  checkUnique(Reader, "urgency", ObjectiveUrgencies_,
              IsUrgent ? "urgent" : "ordinary");
  Result.Latency_ = Reader.duration("latency", AllowedLatency);
  Result.GoodPerMillion_ = Reader.share("good");
  Reader.finish();
  return Result;
}

} // namespace cranberryspool::document
