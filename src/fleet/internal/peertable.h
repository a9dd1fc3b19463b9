#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_PEERTABLE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_PEERTABLE_H

#include "fleet/internal/peerrecord.h"
#include "fleet/types/heartbeat.h"
#include "fleet/types/heartbeatack.h"

#include <deque>
#include <map>

namespace cranberryspool::fleet {

/// Tracks which peers are alive. Only acknowledgements of heartbeats sent by
/// this instance count as evidence, so that a delayed message cannot make a
/// dead peer appear alive.
class PeerTable {
public:
  PeerTable(framework::InstanceName Self, framework::Incarnation Incarnation);

  /// Returns the sequence number for a heartbeat that is sent at `Now`.
  std::uint64_t nextSequence(framework::Instant Now);

  /// Returns false for a message from an outdated incarnation.
  bool handleHeartbeat(const Heartbeat &Message);
  /// Returns when the acknowledged heartbeat was sent; nothing when the message
  /// is from an outdated incarnation, too late, or addressed to another
  /// incarnation of this instance.
  std::optional<framework::Instant> handleAck(const HeartbeatAck &Message);

  framework::Incarnation
  newestIncarnation(const framework::InstanceName &Name) const;
  const PeerRecord *find(const framework::InstanceName &Name) const;
  std::map<framework::InstanceName, PeerRecord> &records() { return Records_; }
  const std::map<framework::InstanceName, PeerRecord> &records() const {
    return Records_;
  }
  /// Returns true when the peer has acknowledged a heartbeat sent at `Since` or
  /// later.
  bool hasAckedSince(const framework::InstanceName &Name,
                     framework::Instant Since) const;
  bool isSuperseded() const { return IsSuperseded_; }

private:
  struct SentHeartbeat {
    std::uint64_t Sequence_ = 0;
    framework::Instant At_;
  };

  bool acceptSender(const framework::InstanceName &From,
                    framework::Incarnation Incarnation,
                    const std::string &Address);

  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::deque<SentHeartbeat> Sent_;
  std::map<framework::InstanceName, PeerRecord> Records_;
  bool IsSuperseded_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PEERTABLE_H
