#ifndef CRANBERRYSPOOL_SESSION_INTERNAL_DIRECTIVES_H
#define CRANBERRYSPOOL_SESSION_INTERNAL_DIRECTIVES_H

#include "framework/result.h"
#include "framework/time.h"
#include "session/internal/linemembers.h"
#include "session/scriptedworld.h"
#include "session/types/sessionfault.h"

#include <cstdint>
#include <string_view>

namespace cranberryspool::session {

/// Carries out the lines of a script that change the world around the core.
class Directives {
public:
  /// `LastCall` numbers the calls of the whole session.
  Directives(ScriptedWorld &World, std::uint64_t &LastCall,
             framework::Instant Now)
      : World_(World), LastCall_(LastCall), Now_(Now) {}

  framework::Result<void, SessionFault> play(std::string_view Kind,
                                             LineMembers &Line);

private:
  using Played = framework::Result<void, SessionFault>;

  Played playCalls(LineMembers &Line);
  Played playTarget(LineMembers &Line);
  Played playConnections(std::string_view Kind, LineMembers &Line);
  Played playPlatform(LineMembers &Line);
  Played playZone(LineMembers &Line);
  Played playInstance(LineMembers &Line);
  Played playPeer(LineMembers &Line);
  Played playEvent(std::string_view Kind, LineMembers &Line);

  ScriptedWorld &World_;
  std::uint64_t &LastCall_;
  framework::Instant Now_;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_INTERNAL_DIRECTIVES_H
