#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONKEEPER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONKEEPER_H

#include "decision/internal/coreparts.h"
#include "decision/internal/step.h"

namespace cranberryspool::decision {

/// Opens and closes connections to targets.
class ConnectionKeeper {
public:
  explicit ConnectionKeeper(CoreParts &Parts) : Parts_(Parts) {}

  /// Closes a connection and whatever is on it.
  void close(const Step &At, framework::ConnectionId Id);
  /// Opens what the attempts that wait for the target lack.
  void openForWaiters(const Step &At, framework::TargetId Target);
  /// Makes room for a new connection by closing an idle one.
  void openFresh(const Step &At, framework::TargetId Target);
  /// Closes idle connections that were last heard before the given time.
  void closeIdleBefore(const Step &At, framework::TargetId Target,
                       framework::Instant Before);
  /// Opens spare connections ahead of demand and closes unused ones.
  void tend(const Step &At);

private:
  void open(const Step &At, framework::TargetId Target);
  void closeIdle(const Step &At);

  CoreParts &Parts_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONKEEPER_H
