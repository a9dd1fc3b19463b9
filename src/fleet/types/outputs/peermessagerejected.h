#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERMESSAGEREJECTED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERMESSAGEREJECTED_H

#include <string>

namespace cranberryspool::fleet {

/// A message that was decoded is not used.
struct PeerMessageRejected {
  /// The name that the message gives as its sender, which may be forged.
  std::string From_;
  std::string Reason_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_PEERMESSAGEREJECTED_H
