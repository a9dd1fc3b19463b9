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

/// The connections of this instance to all targets, within its share of what
/// each target bears. An attempt without a connection waits in line for the
/// next one that opens or is given back.
class ConnectionPool {
public:
  /// Sets the most connections that may be open to the target. An unknown
  /// target may have none.
  void setLimit(framework::TargetId Target, std::uint32_t Limit);

  /// Returns the idle connection that was heard last, if it was heard at
  /// `AliveSince` or later.
  std::optional<framework::ConnectionId>
  mostRecentIdle(framework::TargetId Target,
                 framework::Instant AliveSince) const;
  /// Puts an attempt on an idle connection.
  void assign(framework::ConnectionId Id, framework::AttemptId Attempt);
  /// True when the target may have one more connection.
  bool mayOpen(framework::TargetId Target) const;
  bool isOpening(framework::TargetId Target) const;
  /// Adds a connection that is being opened.
  framework::ConnectionId open(framework::TargetId Target,
                               framework::Instant Now);
  /// Marks a connection that opened or was given back as idle.
  void markIdle(framework::ConnectionId Id, framework::Instant Now);
  /// Notes that the target was heard on the connection.
  void recordActivity(framework::ConnectionId Id, framework::Instant Now);
  void remove(framework::ConnectionId Id);

  /// Returns the connection, or null when it is not open any more.
  const Connection *find(framework::ConnectionId Id) const;
  /// Returns the idle connections heard before `Before`, longest unheard first.
  std::vector<framework::ConnectionId>
  idleBefore(framework::TargetId Target, framework::Instant Before) const;

  void addWaiter(framework::TargetId Target, framework::AttemptId Waiter);
  void removeWaiter(framework::TargetId Target, framework::AttemptId Waiter);
  /// Takes the attempt that has waited longest for the target.
  std::optional<framework::AttemptId> takeWaiter(framework::TargetId Target);

  /// Returns how many connections to open so that each waiter gets one and
  /// `Spare` are left over, within the limit.
  std::uint32_t connectionsToOpen(framework::TargetId Target,
                                  std::uint32_t Spare) const;

  /// Returns the number of idle connections by the value of the target's id.
  std::span<const std::uint32_t> idleCounts() const { return IdleCounts_; }

  const std::map<framework::ConnectionId, Connection> &connections() const {
    return Connections_;
  }
  /// Returns the number of connections to the target, opening ones included.
  std::uint32_t count(framework::TargetId Target) const;

private:
  struct PerTarget {
    std::uint32_t Limit_ = 0;
    std::uint32_t Total_ = 0;
    std::uint32_t Opening_ = 0;
    /// The one heard last stands last.
    std::vector<framework::ConnectionId> Idle_;
    std::deque<framework::AttemptId> Waiters_;
  };

  PerTarget &at(framework::TargetId Target);
  const PerTarget *get(framework::TargetId Target) const;
  void leaveState(const Connection &Conn);

  std::map<framework::ConnectionId, Connection> Connections_;
  std::vector<PerTarget> Targets_;
  std::vector<std::uint32_t> IdleCounts_;
  std::uint64_t LastId_ = 0;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_CONNECTIONPOOL_H
