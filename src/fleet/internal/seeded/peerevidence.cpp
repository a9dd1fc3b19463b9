#include "fleet/internal/seeded/peerevidence.h"

#include "fleet/internal/seeded/storeview.h"

#include <algorithm>
#include <array>
#include <limits>

namespace cranberryspool::fleet {

namespace {

using framework::Revision;

constexpr std::size_t MaxRecords = 3;
/// Keeps a message within one datagram.
constexpr std::size_t MaxBytes = 1'000;

} // namespace

const std::string *
PeerEvidence::find(const std::vector<ReplicatedRecord> &Records) const {
  const auto Found = std::find_if(
      Records.begin(), Records.end(), [&](const ReplicatedRecord &Each) {
        if (Each.IsDeleted_ || !View_.isTarget(Each.Key_))
          return false;
        const StoredRecord *Known = View_.records().find(Each.Key_);
        return Known && RecordTable::replicate(*Known) == Each;
      });
  return Found == Records.end() ? nullptr : &Found->Key_;
}

std::vector<std::string> PeerEvidence::listTargets(Revision After) const {
  std::vector<std::string> Keys = View_.records().keysChanged(
      After, Revision(std::numeric_limits<std::uint64_t>::max()));
  std::erase_if(Keys, [&](const std::string &Key) {
    return !View_.isTarget(Key) || View_.records().find(Key)->IsDeleted_;
  });
  return Keys;
}

Revision PeerEvidence::chooseStart(std::uint32_t EarlierRequests) const {
  const std::vector<std::string> Keys = listTargets(Revision());
  if (Keys.empty())
    return Revision();
  const std::size_t Last = Keys.size() - 1;
  const std::array Positions{Last, Last * 3 / 4, Last / 2, std::size_t{0}};
  const std::string &Key = Keys[Positions[EarlierRequests % Positions.size()]];
  return Revision(View_.records().find(Key)->Revision_.value() - 1);
}

std::vector<ReplicatedRecord> PeerEvidence::makeAnswer(Revision After) const {
  std::vector<std::string> Keys = listTargets(After);
  if (Keys.empty())
    Keys = listTargets(Revision());
  if (Keys.size() > MaxRecords)
    Keys.erase(Keys.begin() + MaxRecords - 1, Keys.end() - 1);
  return replicate(Keys);
}

std::vector<ReplicatedRecord> PeerEvidence::makeSample() const {
  std::vector<std::string> Keys = listTargets(Revision());
  if (Keys.size() > MaxRecords)
    Keys = {Keys.front(), Keys[Keys.size() / 2], Keys.back()};
  return replicate(Keys);
}

std::vector<ReplicatedRecord>
PeerEvidence::replicate(const std::vector<std::string> &Keys) const {
  std::vector<ReplicatedRecord> Records;
  std::size_t Bytes = 0;
  for (const std::string &Key : Keys) {
    const StoredRecord &Record = *View_.records().find(Key);
    if (Bytes + Key.size() + Record.Value_.size() > MaxBytes)
      continue;
    Bytes += Key.size() + Record.Value_.size();
    Records.push_back(RecordTable::replicate(Record));
  }
  return Records;
}

} // namespace cranberryspool::fleet
