#ifndef CRANBERRYSPOOL_FLEET_TYPES_GOSSIPMESSAGE_H
#define CRANBERRYSPOOL_FLEET_TYPES_GOSSIPMESSAGE_H

#include "fleet/types/memberinfo.h"

#include <vector>

namespace cranberryspool::fleet {

/// Announces the sender and some other members to an instance of a fleet that
/// is discovered from seeds. The first entry of `Members_` is the sender, with
/// age zero.
struct GossipMessage {
  std::vector<MemberInfo> Members_;
  /// Whether the receiver should reply with a gossip message of its own.
  bool IsReplyRequested_ = false;
  /// Whether the sender accepts no new calls and is about to exit.
  bool IsStopping_ = false;

  friend bool operator==(const GossipMessage &,
                         const GossipMessage &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_GOSSIPMESSAGE_H
