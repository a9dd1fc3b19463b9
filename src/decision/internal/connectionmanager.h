#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONMANAGER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONMANAGER_H

#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

#include <map>

namespace cranberryspool::decision {

/// Opens and closes connections to targets.
class ConnectionManager {
public:
  explicit ConnectionManager(CoreState &Core) : Core_(Core) {}

  /// Closes a connection, including any attempt on it.
  void close(const EventContext &Context, framework::ConnectionId Id);
  /// Opens the connections that attempts waiting for the target still need.
  void openForWaiters(const EventContext &Context, framework::TargetId Target);
  /// Opens a new connection. At the connection limit, an idle connection that
  /// was not recently active is closed to make room; if there is none, no
  /// connection is opened.
  void openNew(const EventContext &Context, framework::TargetId Target);
  /// Records that the target receives a non-idempotent request.
  void recordNonIdempotentRequest(const EventContext &Context,
                                  framework::TargetId Target) {
    LastNonIdempotentAt_[Target] = Context.now();
  }
  /// Closes idle connections whose last activity was before the given time.
  void closeIdleBefore(const EventContext &Context, framework::TargetId Target,
                       framework::Instant Before);
  /// Opens spare connections ahead of demand, replaces those that are too old
  /// for non-idempotent requests, and closes unused ones.
  void maintain(const EventContext &Context);

private:
  void open(const EventContext &Context, framework::TargetId Target);
  void closeIdle(const EventContext &Context);
  void openSpares(const EventContext &Context);
  void renewSpares(const EventContext &Context);

  CoreState &Core_;
  /// The time of the last non-idempotent request to each target.
  std::map<framework::TargetId, framework::Instant> LastNonIdempotentAt_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CONNECTIONMANAGER_H
