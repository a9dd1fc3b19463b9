#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLERCOMMAND_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLERCOMMAND_H

#include "decision/types/actions/refusecall.h"
#include "entry/types/targetresponse.h"

#include <memory>
#include <variant>

namespace cranberryspool::entry {

/// Sends the response to a call to its caller.
struct SendResponse {
  framework::CallId Call_;
  std::shared_ptr<const TargetResponse> Response_;
};

/// Closes each caller connection once its accepted requests have been answered.
struct CloseCallers {};

/// Adds `Connection: close` to all further responses.
struct DrainCallers {};

/// A command of the dispatch worker to the caller server.
using CallerCommand = std::variant<SendResponse, decision::RefuseCall,
                                   DrainCallers, CloseCallers>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLERCOMMAND_H
