#include "fleet/internal/keytable.h"
#include "fleet/internal/keytiming.h"

namespace cranberryspool::fleet {

KeyRecord *KeyTable::find(const framework::IdempotencyKey &Key) {
  const auto Entry = Records_.find(Key);
  return Entry == Records_.end() ? nullptr : &Entry->second;
}

bool KeyTable::add(const KeyRecord &Record, framework::WallTime KeyTime) {
  if (Records_.size() >= MaxKeys)
    return false;
  const bool IsNew = Records_.try_emplace(Record.Key_, Record).second;
  if (IsNew)
    Expiry_.emplace(KeyTime + KeyLifetime + 2 * KeyClockSkew, Record.Key_);
  return true;
}

void KeyTable::removeExpired(framework::WallTime Now) {
  while (!Expiry_.empty() && Expiry_.begin()->first <= Now) {
    Records_.erase(Expiry_.begin()->second);
    Expiry_.erase(Expiry_.begin());
  }
}

std::vector<KeyRecord> KeyTable::extractIf(
    const std::function<bool(const framework::IdempotencyKey &)> &IsSelected) {
  std::vector<KeyRecord> Extracted;
  for (auto Item = Expiry_.begin(); Item != Expiry_.end();) {
    if (!IsSelected(Item->second)) {
      ++Item;
      continue;
    }
    const auto Record = Records_.find(Item->second);
    Extracted.push_back(Record->second);
    Records_.erase(Record);
    Item = Expiry_.erase(Item);
  }
  return Extracted;
}

} // namespace cranberryspool::fleet
