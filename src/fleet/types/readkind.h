#ifndef CRANBERRYSPOOL_FLEET_TYPES_READKIND_H
#define CRANBERRYSPOOL_FLEET_TYPES_READKIND_H

namespace cranberryspool::fleet {

/// The two ways in which the platform's metadata store is read.
enum class ReadKind {
  AllRecords,
  /// A read of the changes after a revision, or a watch for them.
  Changes
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_READKIND_H
