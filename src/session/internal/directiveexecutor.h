#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_DIRECTIVEEXECUTOR_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_DIRECTIVEEXECUTOR_H

#include "framework/result.h"
#include "framework/time.h"
#include "session/internal/jsonobjectreader.h"
#include "session/scriptedenvironment.h"
#include "session/types/sessionerrorcode.h"

#include <cstdint>
#include <string_view>

namespace cranberryspool::session {

/// Executes the directives of a script, which change the environment of the
/// core or schedule events for it.
class DirectiveExecutor {
public:
  /// `LastCallId` is incremented for every call and is shared by all directives
  /// of the session.
  DirectiveExecutor(ScriptedEnvironment &Environment, std::uint64_t &LastCallId,
                    framework::Instant Now)
      : Environment_(Environment), LastCallId_(LastCallId), Now_(Now) {}

  /// Executes one directive. `Reader` reads the members of its line.
  framework::Result<void, SessionErrorCode> execute(std::string_view Directive,
                                                    JsonObjectReader &Reader);

private:
  using Outcome = framework::Result<void, SessionErrorCode>;

  Outcome scheduleCalls(JsonObjectReader &Reader);
  Outcome configureTarget(JsonObjectReader &Reader);
  Outcome disruptConnections(std::string_view Directive,
                             JsonObjectReader &Reader);
  Outcome configurePlatform(JsonObjectReader &Reader);
  Outcome setZoneState(JsonObjectReader &Reader);
  Outcome setInstanceState(JsonObjectReader &Reader);
  Outcome addPeer(JsonObjectReader &Reader);
  Outcome scheduleEvent(std::string_view Directive, JsonObjectReader &Reader);

  ScriptedEnvironment &Environment_;
  std::uint64_t &LastCallId_;
  framework::Instant Now_;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_DIRECTIVEEXECUTOR_H
