#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIME_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIME_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// An idempotency key that is a UUID version 7 (RFC 9562).
struct TimedKey {
  /// The key in lower case.
  framework::IdempotencyKey Key_;
  /// When the caller made it, by the caller's clock.
  framework::WallTime Time_;
};

/// Reads a key; nothing when it is not a UUID version 7.
std::optional<TimedKey> readKey(const framework::IdempotencyKey &Key);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_KEYTIME_H
