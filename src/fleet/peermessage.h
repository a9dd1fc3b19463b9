#ifndef CRANBERRYSPOOL_FLEET_PEERMESSAGE_H
#define CRANBERRYSPOOL_FLEET_PEERMESSAGE_H

#include "capacity/types/demandupdate.h"
#include "fleet/types/crashupdate.h"
#include "fleet/types/gossipmessage.h"
#include "fleet/types/heartbeat.h"
#include "fleet/types/heartbeatack.h"
#include "fleet/types/keyended.h"
#include "fleet/types/keyendedack.h"
#include "fleet/types/keyhandover.h"
#include "fleet/types/keyhandoverack.h"
#include "fleet/types/keyreply.h"
#include "fleet/types/keyrequest.h"
#include "fleet/types/loadupdate.h"
#include "fleet/types/recordfragment.h"
#include "fleet/types/recordpart.h"
#include "fleet/types/recordrequest.h"
#include "fleet/types/recordupdate.h"
#include "fleet/types/storeavailability.h"
#include "fleet/types/viewreplaced.h"
#include "quotas/types/quotagrant.h"
#include "quotas/types/quotarequest.h"

#include <variant>

namespace cranberryspool::fleet {

/// A datagram message between instances. The order of the alternatives is part
/// of the encoding.
using PeerMessage =
    std::variant<Heartbeat, HeartbeatAck, KeyRequest, KeyReply, KeyEnded,
                 KeyEndedAck, KeyHandover, KeyHandoverAck, GossipMessage,
                 LoadUpdate, RecordUpdate, RecordFragment, CrashUpdate,
                 quotas::QuotaRequest, quotas::QuotaGrant,
                 capacity::DemandUpdate, RecordRequest, RecordPart,
                 StoreAvailability, ViewReplaced>;

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_PEERMESSAGE_H
