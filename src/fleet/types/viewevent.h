#ifndef CRANBERRYSPOOL_FLEET_TYPES_VIEWEVENT_H
#define CRANBERRYSPOOL_FLEET_TYPES_VIEWEVENT_H

namespace cranberryspool::fleet {

/// What happened to an instance's view of the platform's metadata store.
enum class ViewEvent {
  /// Other instances have a newer revision whose changes are missing here.
  Behind,
  /// The missing changes have arrived.
  CaughtUp,
  /// The store does not answer this instance.
  StoreUnavailable,
  /// The store answers this instance again.
  StoreAvailable,
  /// A read of the store took long, or its answer was large.
  StoreReadSlow,
  /// The store may have left out later changes of an answer; they are read at
  /// once.
  StoreReadPartial,
  /// An answer of the store lacks a change that is known otherwise; all records
  /// are read.
  StoreReadIncomplete,
  /// A read of all records has found changes that answers to reads of changes
  /// had left out, or may have.
  ChangesFound,
  /// An answer of the own store cannot be of the same history as the view; the
  /// store is read again.
  Contradicted,
  /// Several answers of the own store have contradicted the view, which the
  /// last one has replaced.
  Replaced,
  /// Neither an update of another instance nor an answer of the store has
  /// arrived for a while; another instance is asked.
  UpdatesOverdue,
  /// Datagrams seem to be lost between this instance and others, which it asks
  /// for changes over connections.
  DatagramsLost,
  /// The record of a target states that it leaves.
  TargetDraining,
  /// The record of a target was deleted; the target is no longer used.
  TargetRemoved,
  /// The record of a target was deleted, perhaps in an outage of the store; the
  /// target is used until the recovery grace period ends.
  RemovalDeferred,
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_VIEWEVENT_H
