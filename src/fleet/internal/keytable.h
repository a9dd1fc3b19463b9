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

/// The keys that this instance keeps as their home, up to `MaxKeys`, each until
/// it is too old to be accepted.
class KeyTable {
public:
  KeyRecord *find(const framework::IdempotencyKey &Key);
  /// Adds a record; does nothing when the key is known. Returns false when the
  /// table is full.
  bool add(const KeyRecord &Record, framework::WallTime KeyTime);
  void dropExpired(framework::WallTime Now);
  std::size_t size() const { return Records_.size(); }

  /// Takes out the records that the predicate selects.
  std::vector<KeyRecord>
  take(const std::function<bool(const framework::IdempotencyKey &)> &IsTaken);

private:
  std::map<framework::IdempotencyKey, KeyRecord> Records_;
  std::set<std::pair<framework::WallTime, framework::IdempotencyKey>> Expiry_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYTABLE_H
