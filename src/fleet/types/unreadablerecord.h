#ifndef CRANBERRYSPOOL_FLEET_TYPES_UNREADABLERECORD_H
#define CRANBERRYSPOOL_FLEET_TYPES_UNREADABLERECORD_H

#include <string>

namespace cranberryspool::fleet {

/// The result of decoding a record that is invalid or of an unknown kind.
struct UnreadableRecord {
  /// Describes the problem for the log.
  std::string Reason_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_UNREADABLERECORD_H
