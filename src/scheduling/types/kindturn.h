#ifndef CRANBERRYSPOOL_SCHEDULING_TYPES_KINDTURN_H
#define CRANBERRYSPOOL_SCHEDULING_TYPES_KINDTURN_H

#include "scheduling/types/kindkey.h"

namespace cranberryspool::scheduling {

/// Why a kind has its turn.
enum class TurnReason {
  /// No kind of a higher rank has calls that may start, and it has had least of
  /// its share among the kinds of its rank.
  Rank,
  /// It has had less than the minimum that each kind gets, whatever its rank.
  Minimum,
};

/// The kind whose call starts next.
struct KindTurn {
  KindKey Kind_;
  TurnReason Reason_ = TurnReason::Rank;

  friend bool operator==(const KindTurn &, const KindTurn &) = default;
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TYPES_KINDTURN_H
