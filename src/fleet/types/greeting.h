#ifndef CRANBERRYSPOOL_FLEET_TYPES_GREETING_H
#define CRANBERRYSPOOL_FLEET_TYPES_GREETING_H

#include "fleet/types/knownmember.h"

#include <vector>

namespace cranberryspool::fleet {

/// A sign of life among instances that find each other by seeds. The first
/// entry of `Members_` is the sender, with age zero.
struct Greeting {
  std::vector<KnownMember> Members_;
  /// True when the receiver should greet back.
  bool IsAnswerWanted_ = false;
  /// True when the sender takes no new calls and is about to end.
  bool IsStopping_ = false;

  friend bool operator==(const Greeting &, const Greeting &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_GREETING_H
