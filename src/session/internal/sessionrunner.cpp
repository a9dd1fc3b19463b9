#include "session/sessionrunner.h"

#include "session/internal/directives.h"
#include "session/internal/linemembers.h"
#include "session/internal/lines.h"

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

/// Any time of day will do, but always the same.
constexpr framework::WallTime StartOfSession{
    std::chrono::seconds(1'800'000'000)};

constexpr std::array<std::string_view, 9> Recurring{
    "tick",           "read-document",        "read-instances",
    "probe-target",   "document-unchanged",   "instances-unchanged",
    "probe-answered", "document-unavailable", "instances-unavailable"};

bool isRecurring(const json::object &Line) {
  const json::value &Kind = Line.begin()->value();
  const std::string_view Name(Kind.get_string());
  if (Name == "send-peer-message")
    return true;
  return std::find(Recurring.begin(), Recurring.end(), Name) != Recurring.end();
}

} // namespace

SessionRunner::SessionRunner(EnvironmentSetup Setup, std::uint64_t Seed,
                             bool Everything, std::ostream &Output)
    : World_(Setup),
      Core_(decision::CoreSettings{.Self_ = Setup.Self_,
                                   .Incarnation_ = framework::Incarnation(1),
                                   .Zone_ = Setup.Zone_,
                                   .PeerAddress_ = Setup.PeerAddress_},
            framework::Random(Seed)),
      Everything_(Everything),
      Output_(Output), Now_{.Monotonic_ = Instant{}, .Wall_ = StartOfSession} {
  tell(decision::Tick{});
}

framework::Result<void, SessionError> SessionRunner::run(std::istream &Script) {
  std::string Line;
  std::size_t Number = 0;
  while (std::getline(Script, Line)) {
    ++Number;
    if (Line.empty() || Line.starts_with("//"))
      continue;
    Concerned_.clear();
    const auto Played = playLine(Line);
    if (!Played)
      return SessionError{Number, Played.error(), Concerned_};
  }
  return framework::success();
}

framework::Result<void, SessionFault>
SessionRunner::playLine(const std::string &Line) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Line, Error);
  if (Error)
    return SessionFault::NotJson;
  if (!Parsed.is_object())
    return SessionFault::NotAnObject;
  LineMembers Members(Parsed.get_object());
  const auto At = Members.time("at");
  const auto Kind = Members.text("do");
  Concerned_ = Members.concerned();
  if (!At || !Kind)
    return SessionFault::BadMember;
  if (Instant{} + *At < Now_.Monotonic_)
    return SessionFault::GoesBack;
  passUntil(Instant{} + *At);
  print(Line);
  if (*Kind == "end")
    return framework::success();
  if (*Kind == "pause") {
    const auto For = Members.time("for");
    if (!For)
      return SessionFault::BadMember;
    moveTo(Now_.Monotonic_ + *For);
    return framework::success();
  }
  const auto Played =
      Directives(World_, LastCall_, Now_.Monotonic_).play(*Kind, Members);
  Concerned_ = Played ? "" : Members.concerned();
  if (!Played && Played.error() == SessionFault::UnknownKind)
    Concerned_ = *Kind;
  return Played;
}

void SessionRunner::passUntil(Instant End) {
  while (true) {
    const Instant Wake = Core_.nextWakeUp();
    const Instant Reply = World_.nextReply();
    const Instant Next = std::min(Wake, Reply);
    if (Next >= End)
      break;
    moveTo(std::max(Now_.Monotonic_, Next));
    if (Wake < Reply) {
      tell(decision::Tick{});
      continue;
    }
    if (const auto Happened = World_.takeReply())
      tell(*Happened);
  }
  moveTo(End);
}

void SessionRunner::tell(const decision::Event &Happened) {
  const json::object Line = eventLine(Happened);
  if (Everything_ || !isRecurring(Line))
    print(json::serialize(Line));
  decision::ActionList Asked;
  Core_.handle(Now_, Happened, Asked);
  for (const decision::Action &One : Asked) {
    const json::object Action = actionLine(One);
    if (Everything_ || !isRecurring(Action))
      print(json::serialize(Action));
    World_.take(One, Now_.Monotonic_);
  }
}

void SessionRunner::moveTo(Instant When) {
  Now_.Wall_ += When - Now_.Monotonic_;
  Now_.Monotonic_ = When;
}

void SessionRunner::print(std::string_view Line) {
  const Duration Since = Now_.Monotonic_.time_since_epoch();
  Output_ << framework::durationText(Since) << ' ' << Line << '\n';
}

} // namespace cranberryspool::session
