#ifndef CRANBERRYSPOOL_ENTRY_TYPES_PEERCOMMAND_H
#define CRANBERRYSPOOL_ENTRY_TYPES_PEERCOMMAND_H

#include "decision/types/actions/sendpeermessage.h"

namespace cranberryspool::entry {

/// A command of the dispatch worker to the peer messenger.
using PeerCommand = decision::SendPeerMessage;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_PEERCOMMAND_H
