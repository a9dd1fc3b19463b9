#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEEREVIDENCE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEEREVIDENCE_H

#include "fleet/types/replicatedrecord.h"
#include "framework/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

class StoreView;

/// Evidence that two instances read the same store: the record of a target with
/// the same key, revision and value. Records of configurations are none, since
/// stores that were set up alike may hold the same one.
class PeerEvidence {
public:
  explicit PeerEvidence(const StoreView &View) : View_(View) {}

  /// Returns the key of the first record that is evidence, or null.
  const std::string *find(const std::vector<ReplicatedRecord> &Records) const;

  /// Returns the revision after which records are asked for: before the newest
  /// target record at first, before an earlier one at each further request.
  framework::Revision chooseStart(std::uint32_t EarlierRequests) const;

  /// Returns a few target records: the first ones after a revision, and the
  /// newest one in case the asking instance is ahead.
  std::vector<ReplicatedRecord> makeAnswer(framework::Revision After) const;

  /// Returns a few target records, the newest and older ones: instances whose
  /// views differ by recent changes hold one of them alike.
  std::vector<ReplicatedRecord> makeSample() const;

private:
  std::vector<ReplicatedRecord>
  replicate(const std::vector<std::string> &Keys) const;
  /// Returns the keys of the targets in the order of their revisions.
  std::vector<std::string> listTargets(framework::Revision After) const;

  const StoreView &View_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEEREVIDENCE_H
