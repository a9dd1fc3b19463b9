#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_WORKERMAILBOXES_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_WORKERMAILBOXES_H

#include "decision/types/actions/fetchkeptanswer.h"
#include "decision/types/actions/fetchsections.h"
#include "decision/types/actions/readrecords.h"
#include "entry/types/callercommand.h"
#include "entry/types/dispatchinput.h"
#include "entry/types/peercommand.h"
#include "entry/types/platformcommand.h"
#include "entry/types/targetcommand.h"
#include "framework/runtime/mailbox.h"

namespace cranberryspool::entry {

/// The mailboxes through which the workers of one instance communicate.
struct WorkerMailboxes {
  static constexpr std::size_t DispatchCapacity = 16384;
  static constexpr std::size_t CommandCapacity = 16384;
  static constexpr std::size_t PlatformCapacity = 64;
  static constexpr std::size_t PeerCapacity = 1024;

  framework::Mailbox<DispatchInput> Dispatch_{DispatchCapacity};
  framework::Mailbox<CallerCommand> Callers_{CommandCapacity};
  framework::Mailbox<TargetCommand> Targets_{CommandCapacity};
  framework::Mailbox<PlatformCommand> Platform_{PlatformCapacity};
  framework::Mailbox<decision::ReadRecords> Records_{PlatformCapacity};
  framework::Mailbox<PeerCommand> Peers_{PeerCapacity};
  framework::Mailbox<decision::FetchSections> SectionFetches_{PeerCapacity};
  framework::Mailbox<decision::FetchKeptAnswer> StoredResponseFetches_{
      PeerCapacity};
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_WORKERMAILBOXES_H
