#ifndef CRANBERRYSPOOL_SESSION_SESSIONRUNNER_H
#define CRANBERRYSPOOL_SESSION_SESSIONRUNNER_H

#include "decision/core.h"
#include "framework/moment.h"
#include "framework/result.h"
#include "session/scriptedworld.h"
#include "session/types/environmentsetup.h"
#include "session/types/sessionerror.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace cranberryspool::session {

/// Plays a session: feeds a core the events of a script in virtual time, with
/// a `Tick` whenever the core asks for one, and prints each event and action as
/// a line of JSON. Reads, watches, probes and messages to peers that recur
/// without end are not printed unless `Everything` is set.
class SessionRunner {
public:
  SessionRunner(EnvironmentSetup Setup, std::uint64_t Seed, bool Everything,
                std::ostream &Output);

  /// Plays all lines of the script.
  framework::Result<void, SessionError> run(std::istream &Script);

private:
  framework::Result<void, SessionFault> playLine(const std::string &Line);
  void passUntil(framework::Instant End);
  void tell(const decision::Event &Happened);
  void moveTo(framework::Instant When);
  void print(std::string_view Line);

  ScriptedWorld World_;
  decision::Core Core_;
  bool Everything_;
  std::ostream &Output_;
  framework::Moment Now_;
  /// The member or kind that the last failure concerns.
  std::string Concerned_;
  std::uint64_t LastCall_ = 0;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_SESSIONRUNNER_H
