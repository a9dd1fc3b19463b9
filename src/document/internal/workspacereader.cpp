#include "document/internal/workspacereader.h"

#include "document/keydigesttext.h"
#include "document/objectreader.h"

#include <algorithm>
#include <optional>

namespace cranberryspool::document {

namespace {

constexpr Range<std::size_t> AllowedWorkspaces{0, 1'000};
/// A workspace without a key is allowed: it locks its callers out without
/// removing the last workspace, which would open the environment to all.
constexpr Range<std::size_t> AllowedKeys{0, 1'000};
constexpr Range<std::uint32_t> AllowedPriority{0, 1'000};
constexpr Range<std::uint32_t> AllowedQuota{0, 1'000'000};
constexpr std::string_view DigestPrefix = "sha256:";

std::optional<KeyDigest> readDigest(const JsonTree::Content &Content) {
  const auto *Text = std::get_if<std::string>(&Content);
  if (Text == nullptr || !Text->starts_with(DigestPrefix))
    return std::nullopt;
  return parseDigest(std::string_view(*Text).substr(DigestPrefix.size()));
}

} // namespace

WorkspaceReader::WorkspaceReader(const JsonTree &Tree, FaultCollector &Faults)
    : Tree_(Tree), Faults_(Faults) {}

std::vector<Workspace> WorkspaceReader::read() {
  ObjectReader Reader(Tree_, {JsonTree::root(), ""}, Faults_,
                      FoundValues::Hidden);
  std::vector<Workspace> Workspaces;
  for (const JsonLocation &Each : Reader.list("workspaces", AllowedWorkspaces))
    Workspaces.push_back(readWorkspace(Each));
  std::sort(Workspaces.begin(), Workspaces.end(),
            [](const Workspace &Left, const Workspace &Right) {
              return Left.Name_ < Right.Name_;
            });
  return Workspaces;
}

Workspace WorkspaceReader::readWorkspace(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_, FoundValues::Hidden);
  Workspace Result;
  const std::string Name = Reader.name("name");
  if (!Name.empty() && !Names_.insert(Name).second)
    Reader.report("name", FaultKind::DuplicateName, "a unique name");
  Result.Name_ = framework::WorkspaceName(Name);
  if (Reader.object("key-digests"))
    Result.KeyDigests_ = readDigests(Reader.list("key-digests", AllowedKeys));
  if (Reader.has("priority"))
    Result.Priority_ = Reader.number("priority", AllowedPriority);
  if (Reader.has("quota"))
    Result.Quota_ = readQuota(*Reader.object("quota"));
  Reader.finish();
  return Result;
}

WorkspaceQuota WorkspaceReader::readQuota(const JsonLocation &Location) {
  ObjectReader Reader(Tree_, Location, Faults_, FoundValues::Hidden);
  WorkspaceQuota Result;
  Result.RequestsPerSecond_ =
      Reader.decimal("requests-per-second", AllowedQuota);
  Result.Burst_ = Reader.decimal("burst", AllowedQuota);
  Reader.finish();
  // Without a rate there is no limit, and the burst has no meaning.
  return Result.isLimited() ? Result : WorkspaceQuota();
}

std::vector<KeyDigest>
WorkspaceReader::readDigests(const std::vector<JsonLocation> &Locations) {
  std::vector<KeyDigest> Digests;
  for (const JsonLocation &Each : Locations) {
    const auto Digest = readDigest(Tree_.node(Each.Node_).Content_);
    if (!Digest) {
      report(Each, FaultKind::InvalidDigest,
             "\"sha256:\" and 64 lower-case hexadecimal digits");
      continue;
    }
    const auto [Known, IsNew] = DigestPointers_.emplace(*Digest, Each.Pointer_);
    if (!IsNew)
      report(Each, FaultKind::DuplicateDigest,
             "a digest that differs from that of " + Known->second);
    Digests.push_back(*Digest);
  }
  std::sort(Digests.begin(), Digests.end());
  return Digests;
}

void WorkspaceReader::report(const JsonLocation &Location, FaultKind Kind,
                             std::string Expected) {
  Faults_.add(Tree_.node(Location.Node_).Offset_,
              {Kind, Location.Pointer_, 0, 0, std::move(Expected), ""});
}

} // namespace cranberryspool::document
