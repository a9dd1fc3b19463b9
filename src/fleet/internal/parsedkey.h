#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_PARSEDKEY_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_PARSEDKEY_H

#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// A valid idempotency key: a UUID version 7 (RFC 9562).
struct ParsedKey {
  /// The key in lower case.
  framework::IdempotencyKey Key_;
  /// The creation time according to the caller's clock.
  framework::WallTime Time_;
};

/// Parses a key; returns nothing when it is not a UUID version 7.
std::optional<ParsedKey> parseKey(const framework::IdempotencyKey &Key);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PARSEDKEY_H
