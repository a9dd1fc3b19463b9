#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_NAMES_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_NAMES_H

#include "calls/endingnames.h"
#include "calls/types/attemptfailure.h"
#include "calls/types/writestate.h"
#include "decision/changenames.h"
#include "framework/ids.h"
#include "session/types/targetmode.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cranberryspool::session {

/// The names of enumerators in sessions.
std::string_view nameOf(calls::AttemptFailure Value);
std::string_view nameOf(calls::WriteState Value);

/// The number of an attempt among those of its instance, for print.
std::uint64_t shortNumber(framework::AttemptId Attempt);

std::optional<TargetMode> targetModeOf(std::string_view Name);
std::optional<calls::AttemptFailure> attemptFailureOf(std::string_view Name);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_NAMES_H
