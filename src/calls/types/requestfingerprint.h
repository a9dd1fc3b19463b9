#ifndef CRANBERRYSPOOL_CALLS_TYPES_REQUESTFINGERPRINT_H
#define CRANBERRYSPOOL_CALLS_TYPES_REQUESTFINGERPRINT_H

#include <compare>
#include <cstdint>

namespace cranberryspool::calls {

/// A 128-bit hash of a request's content: method, host, path, query and body.
/// Repeats of a request have the same fingerprint at every instance, unlike
/// their attempt ids.
struct RequestFingerprint {
  std::uint64_t High_ = 0;
  std::uint64_t Low_ = 0;

  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_REQUESTFINGERPRINT_H
