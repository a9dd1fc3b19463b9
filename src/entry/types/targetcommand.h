#ifndef CRANBERRYSPOOL_ENTRY_TYPES_TARGETCOMMAND_H
#define CRANBERRYSPOOL_ENTRY_TYPES_TARGETCOMMAND_H

#include "decision/types/actions/closeconnection.h"
#include "decision/types/actions/openconnection.h"
#include "decision/types/actions/probetarget.h"
#include "decision/types/actions/sendattempt.h"
#include "entry/types/callerrequest.h"

#include <memory>
#include <variant>

namespace cranberryspool::entry {

/// Sends a request on an open connection.
struct SendRequest {
  decision::SendAttempt Attempt_;
  std::shared_ptr<const CallerRequest> Request_;
};

/// A command of the dispatch worker to the target connection pool.
using TargetCommand =
    std::variant<decision::OpenConnection, decision::CloseConnection,
                 decision::ProbeTarget, SendRequest>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_TARGETCOMMAND_H
