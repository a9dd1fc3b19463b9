#ifndef CRANBERRYSPOOL_CALLS_CONNECTIONPOOL_H
#define CRANBERRYSPOOL_CALLS_CONNECTIONPOOL_H

#include "calls/types/connection.h"
#include "framework/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace cranberryspool::calls {

/// The connections of this instance to all targets, within this instance's
/// share of each target's connection limit. An attempt without a connection
/// waits in a FIFO queue for the next one that opens or is returned.
class ConnectionPool {
public:
  /// Sets the maximum number of connections to the target. It is zero until it
  /// is set.
  void setLimit(framework::TargetId Target, std::uint32_t Limit);

  /// Returns the idle connection with the most recent activity, if that was at
  /// `ActiveSince` or later.
  std::optional<framework::ConnectionId>
  mostRecentIdle(framework::TargetId Target,
                 framework::Instant ActiveSince) const;
  /// Assigns an attempt to an idle connection.
  void assign(framework::ConnectionId Id, framework::AttemptId Attempt);
  /// Returns true when one more connection to the target may be opened.
  bool mayOpen(framework::TargetId Target) const;
  bool isOpening(framework::TargetId Target) const;
  /// Adds a connection that is being opened.
  framework::ConnectionId open(framework::TargetId Target,
                               framework::Instant Now);
  /// Marks a connection as idle that has opened or was returned.
  void markIdle(framework::ConnectionId Id, framework::Instant Now);
  /// Records that the target has sent something on the connection.
  void recordActivity(framework::ConnectionId Id, framework::Instant Now);
  void remove(framework::ConnectionId Id);

  /// Returns the connection, or null when it is no longer open.
  const Connection *find(framework::ConnectionId Id) const;
  /// Returns the idle connections whose last activity was before `Before`, the
  /// least recent first.
  std::vector<framework::ConnectionId>
  idleBefore(framework::TargetId Target, framework::Instant Before) const;

  void addWaiter(framework::TargetId Target, framework::AttemptId Waiter);
  void removeWaiter(framework::TargetId Target, framework::AttemptId Waiter);
  /// Removes and returns the attempt that has waited longest for a connection
  /// to the target.
  std::optional<framework::AttemptId> takeWaiter(framework::TargetId Target);

  /// Returns how many connections have to be opened, within the limit, so that
  /// each waiting attempt gets one and `Spare` remain idle.
  std::uint32_t connectionsToOpen(framework::TargetId Target,
                                  std::uint32_t Spare) const;

  /// Returns the number of idle connections, indexed by target id.
  std::span<const std::uint32_t> idleCounts() const { return IdleCounts_; }

  const std::map<framework::ConnectionId, Connection> &connections() const {
    return Connections_;
  }
  /// Returns the number of connections to the target, opening ones included.
  std::uint32_t count(framework::TargetId Target) const;
  /// Returns the number of connections to the target that have opened.
  std::uint32_t openCount(framework::TargetId Target) const;

private:
  struct TargetConnections {
    std::uint32_t Limit_ = 0;
    std::uint32_t Total_ = 0;
    std::uint32_t Opening_ = 0;
    /// The idle connections, the one with the most recent activity last.
    std::vector<framework::ConnectionId> Idle_;
    std::deque<framework::AttemptId> Waiters_;
  };

  TargetConnections &entry(framework::TargetId Target);
  const TargetConnections *findEntry(framework::TargetId Target) const;
  void removeFromState(const Connection &Conn);

  std::map<framework::ConnectionId, Connection> Connections_;
  std::vector<TargetConnections> Targets_;
  std::vector<std::uint32_t> IdleCounts_;
  std::uint64_t LastId_ = 0;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_CONNECTIONPOOL_H
