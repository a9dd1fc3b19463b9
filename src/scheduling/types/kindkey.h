#ifndef CRANBERRYSPOOL_SCHEDULING_TYPES_KINDKEY_H
#define CRANBERRYSPOOL_SCHEDULING_TYPES_KINDKEY_H

#include <compare>
#include <cstdint>

namespace cranberryspool::scheduling {

/// The calls of one request kind and rank, which have one share of a service.
/// Calls of one kind differ in rank where workspaces have priorities.
struct KindKey {
  /// The urgency class and the priority within it; 0 is served first.
  std::uint64_t Rank_ = 0;
  std::uint32_t Kind_ = 0;

  friend auto operator<=>(const KindKey &, const KindKey &) = default;
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TYPES_KINDKEY_H
