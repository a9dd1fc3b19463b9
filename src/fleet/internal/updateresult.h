#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_UPDATERESULT_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_UPDATERESULT_H

namespace cranberryspool::fleet {

/// The result of updating a store with a published value.
enum class UpdateResult {
  /// The value is newer than the previous one and was accepted.
  Accepted,
  /// The value has been accepted before.
  Unchanged,
  /// The value is older than the accepted one and was ignored.
  Stale,
  /// The value is newer but invalid, and was ignored.
  Rejected,
  /// Sections of the value are missing or do not match their digests.
  Incomplete,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_UPDATERESULT_H
