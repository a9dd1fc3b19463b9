#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONMANAGER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONMANAGER_H

#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

#include <map>

namespace cranberryspool::decision {

/// Opens and closes connections to targets.
class ConnectionKeeper {
public:
  explicit ConnectionKeeper(CoreParts &Parts) : Parts_(Parts) {}

  /// Closes a connection and whatever is on it.
  void close(const Step &At, framework::ConnectionId Id);
  /// Opens what the attempts that wait for the target lack.
  void openForWaiters(const Step &At, framework::TargetId Target);
  /// Opens a new connection, if need be in place of an idle one.
  void openFresh(const Step &At, framework::TargetId Target);
  /// Notes that the target gets a request that must not run twice.
  void noteFreshNeeded(const Step &At, framework::TargetId Target) {
    FreshNeededAt_[Target] = At.now();
  }
  /// Closes idle connections that were last heard before the given time.
  void closeIdleBefore(const Step &At, framework::TargetId Target,
                       framework::Instant Before);
  /// Opens spare connections ahead of demand, renews those that are not fit for
  /// requests that must not run twice, and closes unused ones.
  void tend(const Step &At);

private:
  void open(const Step &At, framework::TargetId Target);
  void closeIdle(const Step &At);
  void openSpares(const Step &At);
  void refreshSpares(const Step &At);

  CoreParts &Parts_;
  /// When each target last needed a connection lately heard alive.
  std::map<framework::TargetId, framework::Instant> FreshNeededAt_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONMANAGER_H
