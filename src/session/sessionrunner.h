#ifndef CRANBERRYSPOOL_SESSION_SESSIONRUNNER_H
#define CRANBERRYSPOOL_SESSION_SESSIONRUNNER_H

#include "decision/core.h"
#include "framework/moment.h"
#include "framework/result.h"
#include "session/scriptedenvironment.h"
#include "session/types/environmentsetup.h"
#include "session/types/sessionerror.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace cranberryspool::session {

/// Runs a session: delivers the events of a script to a core in virtual time,
/// with a `Tick` whenever the core requests one, and prints each event and each
/// action as a line of JSON. Recurring events and actions (ticks, reads of the
/// platform, probes, messages to peers) are printed only if `IsVerbose` is set.
class SessionRunner {
public:
  SessionRunner(EnvironmentSetup Setup, std::uint64_t Seed, bool IsVerbose,
                std::ostream &Output);

  /// Runs all lines of the script and returns the first error. Empty lines and
  /// lines that begin with `//` are skipped.
  framework::Result<void, SessionError> run(std::istream &Script);

private:
  /// Runs the session up to the time of the line, then executes the line.
  framework::Result<void, SessionErrorCode> runLine(const std::string &Line);
  /// Delivers all ticks and events that are due before `End`, and advances the
  /// clock to it.
  void runUntil(framework::Instant End);
  /// Passes an event to the core and executes the actions that it returns.
  void deliver(const decision::Event &Event);
  void advanceClock(framework::Instant When);
  /// Prints a line with the time since the start of the session before it.
  void print(std::string_view Line);

  ScriptedEnvironment Environment_;
  decision::Core Core_;
  bool IsVerbose_;
  std::ostream &Output_;
  framework::Moment Now_;
  /// The member or directive that the last error concerns.
  std::string ErrorSubject_;
  /// The id of the last call that a script has made.
  std::uint64_t LastCallId_ = 0;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_SESSIONRUNNER_H
