#include "session/sessionrunner.h"

#include "session/internal/directiveexecutor.h"
#include "session/internal/jsonobjectreader.h"
#include "session/internal/tracejson.h"

#include "framework/units.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <utility>

namespace cranberryspool::session {

namespace json = boost::json;

namespace {

using framework::Duration;
using framework::Instant;

/// A fixed time of day, so that every run of a session gives the same output.
constexpr framework::WallTime SessionStart{std::chrono::seconds(1'800'000'000)};

/// Events and actions that recur throughout a session and are omitted from the
/// output by default.
constexpr std::array<std::string_view, 9> RecurringKinds{
    "tick",           "read-document",        "read-instances",
    "probe-target",   "document-unchanged",   "instances-unchanged",
    "probe-answered", "document-unavailable", "instances-unavailable"};

bool isRecurring(const json::object &Line) {
  const json::value &Kind = Line.begin()->value();
  const std::string_view Name(Kind.get_string());
  if (Name == "send-peer-message")
    return true;
  return std::find(RecurringKinds.begin(), RecurringKinds.end(), Name) !=
         RecurringKinds.end();
}

} // namespace

SessionRunner::SessionRunner(EnvironmentSetup Setup, std::uint64_t Seed,
                             bool IsVerbose, std::ostream &Output)
    : Environment_(Setup),
      Core_(decision::CoreSettings{.Self_ = Setup.Self_,
                                   .Incarnation_ = framework::Incarnation(1),
                                   .Zone_ = Setup.Zone_,
                                   .PeerAddress_ = Setup.PeerAddress_},
            framework::Random(Seed)),
      IsVerbose_(IsVerbose),
      Output_(Output), Now_{.Monotonic_ = Instant{}, .Wall_ = SessionStart} {
  deliver(decision::Tick{});
}

framework::Result<void, SessionError> SessionRunner::run(std::istream &Script) {
  std::string Line;
  std::size_t Number = 0;
  while (std::getline(Script, Line)) {
    ++Number;
    if (Line.empty() || Line.starts_with("//"))
      continue;
    ErrorSubject_.clear();
    const auto Outcome = runLine(Line);
    if (!Outcome)
      return SessionError{Number, Outcome.error(), ErrorSubject_};
  }
  return framework::success();
}

framework::Result<void, SessionErrorCode>
SessionRunner::runLine(const std::string &Line) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Line, Error);
  if (Error)
    return SessionErrorCode::InvalidJson;
  if (!Parsed.is_object())
    return SessionErrorCode::NotAnObject;
  JsonObjectReader Reader(Parsed.get_object());
  const auto Offset = Reader.duration("at");
  const auto Directive = Reader.text("do");
  ErrorSubject_ = Reader.invalidMember();
  if (!Offset || !Directive)
    return SessionErrorCode::InvalidMember;
  if (Instant{} + *Offset < Now_.Monotonic_)
    return SessionErrorCode::TimeGoesBackwards;
  runUntil(Instant{} + *Offset);
  print(Line);
  if (*Directive == "end")
    return framework::success();
  if (*Directive == "pause") {
    const auto Pause = Reader.duration("for");
    if (!Pause)
      return SessionErrorCode::InvalidMember;
    advanceClock(Now_.Monotonic_ + *Pause);
    return framework::success();
  }
  const auto Outcome =
      DirectiveExecutor(Environment_, LastCallId_, Now_.Monotonic_)
          .execute(*Directive, Reader);
  ErrorSubject_ = Outcome ? "" : Reader.invalidMember();
  if (!Outcome && Outcome.error() == SessionErrorCode::UnknownDirective)
    ErrorSubject_ = *Directive;
  return Outcome;
}

void SessionRunner::runUntil(Instant End) {
  while (true) {
    const Instant WakeUp = Core_.nextWakeUp();
    const Instant NextEventTime = Environment_.nextEventTime();
    const Instant NextTime = std::min(WakeUp, NextEventTime);
    if (NextTime >= End)
      break;
    advanceClock(std::max(Now_.Monotonic_, NextTime));
    if (WakeUp < NextEventTime) {
      deliver(decision::Tick{});
      continue;
    }
    if (const auto Event = Environment_.takeNextEvent())
      deliver(*Event);
  }
  advanceClock(End);
}

void SessionRunner::deliver(const decision::Event &Event) {
  const json::object EventLine = eventToJson(Event);
  if (IsVerbose_ || !isRecurring(EventLine))
    print(json::serialize(EventLine));
  decision::ActionList Actions;
  Core_.handle(Now_, Event, Actions);
  for (const decision::Action &NextAction : Actions) {
    const json::object ActionLine = actionToJson(NextAction);
    if (IsVerbose_ || !isRecurring(ActionLine))
      print(json::serialize(ActionLine));
    Environment_.execute(NextAction, Now_.Monotonic_);
  }
}

void SessionRunner::advanceClock(Instant When) {
  Now_.Wall_ += When - Now_.Monotonic_;
  Now_.Monotonic_ = When;
}

void SessionRunner::print(std::string_view Line) {
  const Duration Elapsed = Now_.Monotonic_.time_since_epoch();
  Output_ << framework::durationText(Elapsed) << ' ' << Line << '\n';
}

} // namespace cranberryspool::session
