#ifndef CRANBERRYSPOOL_FLEET_TYPES_GOSSIPMESSAGE_H
#define CRANBERRYSPOOL_FLEET_TYPES_GOSSIPMESSAGE_H

#include "fleet/types/memberinfo.h"

#include <vector>

namespace cranberryspool::fleet {

/// A sign of life among instances that find each other by seeds. The first
/// entry of `Members_` is the sender, with age zero.
struct GossipMessage {
  std::vector<MemberInfo> Members_;
  /// True when the receiver should greet back.
  bool IsReplyRequested_ = false;
  /// True when the sender takes no new calls and is about to end.
  bool IsStopping_ = false;

  friend bool operator==(const GossipMessage &, const GossipMessage &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_GOSSIPMESSAGE_H
