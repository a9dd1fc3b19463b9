#ifndef CRANBERRYSPOOL_FLEET_OUTPUT_H
#define CRANBERRYSPOOL_FLEET_OUTPUT_H

#include "fleet/types/outputs/crashnoticesreceived.h"
#include "fleet/types/outputs/demandreceived.h"
#include "fleet/types/outputs/documentapplied.h"
#include "fleet/types/outputs/documentrejected.h"
#include "fleet/types/outputs/fetchsections.h"
#include "fleet/types/outputs/instanceschanged.h"
#include "fleet/types/outputs/keydecided.h"
#include "fleet/types/outputs/loadreceived.h"
#include "fleet/types/outputs/peeradmitted.h"
#include "fleet/types/outputs/peermessagerejected.h"
#include "fleet/types/outputs/peernotconfirmed.h"
#include "fleet/types/outputs/peerreachabilitychanged.h"
#include "fleet/types/outputs/readpublished.h"
#include "fleet/types/outputs/readrecords.h"
#include "fleet/types/outputs/recordrejected.h"
#include "fleet/types/outputs/sendmessage.h"
#include "fleet/types/outputs/shareschanged.h"
#include "fleet/types/outputs/stalevalueignored.h"
#include "fleet/types/outputs/storedresponseexpired.h"
#include "fleet/types/outputs/superseded.h"
#include "fleet/types/outputs/targetreportedcold.h"
#include "fleet/types/outputs/targetreportedwarm.h"
#include "fleet/types/outputs/targetschanged.h"
#include "fleet/types/outputs/viewchanged.h"
#include "fleet/types/outputs/viewfreshnesschanged.h"

#include <variant>
#include <vector>

namespace cranberryspool::fleet {

/// An action that `Fleet` requests or an event that it reports.
using Output =
    std::variant<CrashNoticesReceived, PeerAdmitted, PeerMessageRejected,
                 PeerNotConfirmed, DocumentApplied, DocumentRejected,
                 FetchSections, InstancesChanged, StoredResponseExpired,
                 KeyDecided, LoadReceived, StaleValueIgnored,
                 PeerReachabilityChanged, ReadPublished, ReadRecords,
                 RecordRejected, SendMessage, Superseded, SharesChanged,
                 TargetReportedCold, TargetReportedWarm, TargetsChanged,
                 ViewChanged, ViewFreshnessChanged, DemandReceived>;

/// Outputs in the order in which they must be processed.
using OutputList = std::vector<Output>;

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_OUTPUT_H
