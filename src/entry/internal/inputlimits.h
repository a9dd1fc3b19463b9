#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_INPUTLIMITS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_INPUTLIMITS_H

#include <cstddef>

namespace cranberryspool::entry {

/// The limits of messages that the instance exchanges on its own behalf: with
/// the store, probed targets, other instances and operators.
constexpr std::size_t MaxOwnHeadBytes = 8 * 1024;
/// The maximum size of unparsed input. A chunk header, or all trailer fields,
/// must fit into it.
constexpr std::size_t MaxOwnInputBytes = 64 * 1024;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_INPUTLIMITS_H
