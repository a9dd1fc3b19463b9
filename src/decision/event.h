#ifndef CRANBERRYSPOOL_DECISION_EVENT_H
#define CRANBERRYSPOOL_DECISION_EVENT_H

#include "decision/types/events/answerbegan.h"
#include "decision/types/events/attemptanswered.h"
#include "decision/types/events/attemptfailed.h"
#include "decision/types/events/callarrived.h"
#include "decision/types/events/callergone.h"
#include "decision/types/events/connectionclosed.h"
#include "decision/types/events/connectionopened.h"
#include "decision/types/events/documentpublished.h"
#include "decision/types/events/documentunavailable.h"
#include "decision/types/events/documentunchanged.h"
#include "decision/types/events/instancespublished.h"
#include "decision/types/events/instancesunavailable.h"
#include "decision/types/events/instancesunchanged.h"
#include "decision/types/events/keptanswerfetched.h"
#include "decision/types/events/peermessagereceived.h"
#include "decision/types/events/peermessageunreadable.h"
#include "decision/types/events/probeanswered.h"
#include "decision/types/events/probefailed.h"
#include "decision/types/events/recordhistorylost.h"
#include "decision/types/events/recordsarriving.h"
#include "decision/types/events/recordschanged.h"
#include "decision/types/events/recordsread.h"
#include "decision/types/events/recordsunavailable.h"
#include "decision/types/events/sectionsfetched.h"
#include "decision/types/events/sectionsrequested.h"
#include "decision/types/events/sectionsunavailable.h"
#include "decision/types/events/seedschanged.h"
#include "decision/types/events/stoprequested.h"
#include "decision/types/events/tick.h"

#include <variant>

namespace cranberryspool::decision {

/// All events that a core handles.
using Event =
    std::variant<AnswerBegan, AttemptAnswered, AttemptFailed, CallArrived,
                 CallerGone, ConnectionClosed, ConnectionOpened,
                 DocumentPublished, DocumentUnavailable, DocumentUnchanged,
                 InstancesPublished, InstancesUnchanged, InstancesUnavailable,
                 KeptAnswerFetched, PeerMessageReceived, PeerMessageUnreadable,
                 ProbeAnswered, ProbeFailed, RecordHistoryLost, RecordsArriving,
                 RecordsChanged, RecordsRead, RecordsUnavailable,
                 SectionsFetched, SectionsRequested, SectionsUnavailable,
                 SeedsChanged, StopRequested, Tick>;

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_EVENT_H
