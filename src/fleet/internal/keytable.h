#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYTABLE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYTABLE_H

#include "fleet/types/keyrecord.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace cranberryspool::fleet {

/// The records of the keys that this instance owns: at most `MaxKeys`, each
/// kept until calls with the key are refused as too old.
class KeyTable {
public:
  KeyRecord *find(const framework::IdempotencyKey &Key);
  /// Adds a record unless the key is already present. Returns false when the
  /// table is full.
  bool add(const KeyRecord &Record, framework::WallTime KeyTime);
  void removeExpired(framework::WallTime Now);
  std::size_t size() const { return Records_.size(); }

  /// Removes and returns the records selected by the predicate.
  std::vector<KeyRecord> extractIf(
      const std::function<bool(const framework::IdempotencyKey &)> &IsSelected);

private:
  std::map<framework::IdempotencyKey, KeyRecord> Records_;
  std::set<std::pair<framework::WallTime, framework::IdempotencyKey>> Expiry_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYTABLE_H
