#ifndef CRANBERRYSPOOL_ENTRY_TYPES_CALLERCOMMAND_H
#define CRANBERRYSPOOL_ENTRY_TYPES_CALLERCOMMAND_H

#include "decision/types/actions/refusecall.h"
#include "entry/types/targetanswer.h"

#include <memory>
#include <variant>

namespace cranberryspool::entry {

/// Give the caller an answer.
struct GiveAnswer {
  framework::CallId Call_;
  std::shared_ptr<const TargetAnswer> Answer_;
};

/// Answer all that was accepted, then close the caller connections.
struct FinishCallers {};

/// Answers carry `Connection: close` from now on.
struct WindDownCallers {};

/// What the dispatch duty asks of the callers' server.
using CallerCommand = std::variant<GiveAnswer, decision::RefuseCall,
                                   WindDownCallers, FinishCallers>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_CALLERCOMMAND_H
