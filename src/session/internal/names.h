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

/// Returns the name of an enumerator in the output of a session.
std::string_view nameOf(calls::AttemptFailure Value);
/// Returns the name of an enumerator in the output of a session.
std::string_view nameOf(calls::WriteState Value);

/// Returns the part of an attempt id that counts the attempts of its instance.
/// The output shows this part because it is short.
std::uint64_t sequenceNumber(framework::AttemptId Attempt);

/// Returns the target mode that has this name in scripts.
std::optional<TargetMode> parseTargetMode(std::string_view Name);
/// Returns the failure of an attempt that has this name in scripts.
std::optional<calls::AttemptFailure> parseAttemptFailure(std::string_view Name);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_NAMES_H
