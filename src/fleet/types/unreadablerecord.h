#ifndef CRANBERRYSPOOL_FLEET_TYPES_UNREADABLERECORD_H
#define CRANBERRYSPOOL_FLEET_TYPES_UNREADABLERECORD_H

#include <string>

namespace cranberryspool::fleet {

/// An entry that names nothing that this system can use.
struct UnreadableRecord {
  /// What is wrong with it, for the log.
  std::string Reason_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_UNREADABLERECORD_H
