#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_PEERTABLE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_PEERTABLE_H

#include "fleet/internal/peerrecord.h"
#include "fleet/types/heartbeat.h"
#include "fleet/types/heartbeatack.h"

#include <deque>
#include <map>

namespace cranberryspool::fleet {

/// Signs of life of the other instances. Only round trips that this instance
/// began count as evidence, so that a message from the past proves nothing.
class PeerTable {
public:
  PeerTable(framework::InstanceName Self, framework::Incarnation Incarnation);

  /// Numbers a heartbeat that is about to be sent.
  std::uint64_t nextSequence(framework::Instant Now);

  /// Returns false for a message of a stale incarnation.
  bool noteHeartbeat(const Heartbeat &Message);
  /// Returns when the acknowledged heartbeat was sent; nothing when the message
  /// is stale, old, or not for this incarnation.
  std::optional<framework::Instant> noteAck(const HeartbeatAck &Message);

  framework::Incarnation
  newestIncarnation(const framework::InstanceName &Name) const;
  const PeerRecord *find(const framework::InstanceName &Name) const;
  std::map<framework::InstanceName, PeerRecord> &records() { return Records_; }
  const std::map<framework::InstanceName, PeerRecord> &records() const {
    return Records_;
  }
  /// True when the peer has acknowledged a heartbeat sent after `Since`.
  bool isHeardSince(const framework::InstanceName &Name,
                    framework::Instant Since) const;
  bool isSuperseded() const { return IsSuperseded_; }

private:
  struct SentHeartbeat {
    std::uint64_t Sequence_ = 0;
    framework::Instant At_;
  };

  bool admit(const framework::InstanceName &From,
             framework::Incarnation Incarnation, const std::string &Address);

  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::deque<SentHeartbeat> Sent_;
  std::map<framework::InstanceName, PeerRecord> Records_;
  bool IsSuperseded_ = false;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_PEERTABLE_H
