#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_OFFERRESULT_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_OFFERRESULT_H

namespace cranberryspool::fleet {

/// What became of a published value that was offered to a store.
enum class OfferResult {
  /// Newer than the accepted one: accepted.
  Accepted,
  /// The one that is accepted already.
  Unchanged,
  /// Older than the accepted one: ignored.
  Older,
  /// Newer, but not valid: ignored.
  Rejected,
  /// Some sections are missing.
  Incomplete,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_OFFERRESULT_H
