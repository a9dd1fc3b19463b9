#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLERKIND_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLERKIND_H

namespace cranberryspool::entry {

/// Who opens a connection: a caller, or another instance that forwards calls.
enum class CallerKind { Caller, Peer };

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLERKIND_H
