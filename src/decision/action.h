#ifndef CRANBERRYSPOOL_DECISION_ACTION_H
#define CRANBERRYSPOOL_DECISION_ACTION_H

#include "decision/types/actions/answercall.h"
#include "decision/types/actions/closeconnection.h"
#include "decision/types/actions/dropkeptanswer.h"
#include "decision/types/actions/fetchkeptanswer.h"
#include "decision/types/actions/fetchsections.h"
#include "decision/types/actions/finishstop.h"
#include "decision/types/actions/keepanswer.h"
#include "decision/types/actions/openconnection.h"
#include "decision/types/actions/probetarget.h"
#include "decision/types/actions/readdocument.h"
#include "decision/types/actions/readinstances.h"
#include "decision/types/actions/readrecords.h"
#include "decision/types/actions/refusecall.h"
#include "decision/types/actions/replaykeptanswer.h"
#include "decision/types/actions/reportattempt.h"
#include "decision/types/actions/reportattemptend.h"
#include "decision/types/actions/reportchange.h"
#include "decision/types/actions/sendattempt.h"
#include "decision/types/actions/sendpeermessage.h"
#include "decision/types/actions/servesections.h"
#include "decision/types/actions/setreadiness.h"

#include <variant>
#include <vector>

namespace cranberryspool::decision {

/// All actions that a core can request.
using Action =
    std::variant<AnswerCall, CloseConnection, DropKeptAnswer, FetchKeptAnswer,
                 FetchSections, FinishStop, KeepAnswer, OpenConnection,
                 ProbeTarget, ReadDocument, ReadInstances, ReadRecords,
                 RefuseCall, ReportAttempt, ReportAttemptEnd, ReplayKeptAnswer,
                 ReportChange, SendAttempt, SendPeerMessage, ServeSections,
                 SetReadiness>;

/// Actions in the order in which they must be performed.
using ActionList = std::vector<Action>;

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_ACTION_H
