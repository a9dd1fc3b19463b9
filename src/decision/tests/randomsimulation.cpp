#include "decision/tests/randomsimulation.h"

#include <iterator>

namespace cranberryspool::decision {

namespace {

using framework::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Map> auto pick(Map &From, framework::Random &Rng) {
  auto Position = From.begin();
  std::advance(Position, static_cast<std::ptrdiff_t>(Rng.index(From.size())));
  return Position;
}

} // namespace

RandomWorld::RandomWorld(std::uint64_t Seed)
    : Rng_(Seed),
      Core_(CoreSettings{.Self_ = framework::InstanceName("entry-1"),
                         .Incarnation_ = framework::Incarnation(1),
                         .Zone_ = framework::ZoneName("ikeja"),
                         .PeerAddress_ = "127.0.0.1:7000"},
            framework::Random(Seed + 1)),
      Now_{framework::Instant(seconds(100)),
           framework::WallTime(seconds(1'800'000'000))} {}

void RandomWorld::run(std::uint32_t Steps) {
  tell(Tick{});
  pass(seconds(9));
  for (std::uint32_t Step = 0; Step < Steps; ++Step) {
    pass(anyDelay());
    doSomething();
  }
}

void RandomWorld::finish() {
  IsPlatformDown_ = false;
  tell(StopRequested{});
  pass(seconds(5));
  for (auto &[Id, Known] : Attempts_)
    if (!Known.IsOver_ && chance(0.5))
      answer(Id);
  pass(seconds(120));
  for (const auto &[Id, Known] : Calls_)
    check(Known.HasEnded_, "every call ends");
  check(IsStopped_, "a stop comes to its end");
}

void RandomWorld::doSomething() {
  const double Dice = Rng_.fraction();
  if (Dice < 0.40)
    bringCall();
  else if (Dice < 0.80)
    endAttempt();
  else if (Dice < 0.85)
    loseCaller();
  else if (Dice < 0.88)
    answerLate();
  else if (Dice < 0.91)
    closeIdle();
  else if (Dice < 0.94)
    publish();
  else
    tell(Tick{});
}

void RandomWorld::bringCall() {
  const std::uint64_t Count = chance(0.03) ? 20 : 1;
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    CallArrived Arrival;
    Arrival.Call_ = framework::CallId(++LastCall_);
    const bool IsIdempotent = chance(0.5);
    Arrival.Method_ = IsIdempotent ? "GET" : "POST";
    Arrival.Path_ = IsIdempotent ? "/certificates/7" : "/certificates";
    if (chance(0.3))
      Arrival.Timeout_ = milliseconds(Rng_.index(400));
    Arrival.Attempt_ = chance(0.1) ? 2 : 1;
    if (!IsIdempotent && chance(0.1))
      Arrival.Key_ =
          framework::IdempotencyKey("01a3185c-5000-7000-8000-00000000000" +
                                    std::to_string(Rng_.index(10)));
    Calls_[Arrival.Call_] = WorldCall{.IsIdempotent_ = IsIdempotent};
    tell(Arrival);
  }
}

void RandomWorld::endAttempt() {
  std::vector<framework::AttemptId> Running;
  for (const auto &[Id, Known] : Attempts_)
    if (!Known.IsOver_)
      Running.push_back(Id);
  if (Running.empty())
    return;
  const framework::AttemptId Id = Running[Rng_.index(Running.size())];
  if (chance(0.1))
    tell(AnswerBegan{Id, Attempts_[Id].Sent_.Connection_});
  if (Attempts_[Id].IsOver_)
    return;
  if (chance(0.8))
    answer(Id);
  else
    fail(Id);
}

void RandomWorld::answer(framework::AttemptId Id) {
  WorldAttempt &Known = Attempts_[Id];
  Known.IsOver_ = true;
  AttemptAnswered Answer{.Attempt_ = Id,
                         .Connection_ = Known.Sent_.Connection_,
                         .EchoedAttempt_ = Id,
                         .Status_ = chance(0.1) ? 500U : 200U,
                         .Report_ = routing::LoadReport{},
                         .StartId_ = framework::Incarnation(1),
                         .IsReusable_ = chance(0.95)};
  const double Dice = Rng_.fraction();
  if (Dice < 0.05)
    Answer.EchoedAttempt_ = framework::AttemptId(Id.value() + 1);
  else if (Dice < 0.08)
    Answer.EchoedAttempt_ = std::nullopt;
  else if (Dice < 0.20)
    Answer.IsNotRun_ = true;
  const bool IsOwn = Answer.EchoedAttempt_ == Id;
  Known.MayHaveRun_ = !(IsOwn && Answer.IsNotRun_);
  Known.WasAnsweredWhole_ = Answer.EchoedAttempt_.value_or(Id) == Id;
  Connections_[Known.Sent_.Connection_].Carries_.reset();
  tell(Answer);
}

void RandomWorld::fail(framework::AttemptId Id) {
  WorldAttempt &Known = Attempts_[Id];
  Known.IsOver_ = true;
  AttemptFailed Failure{.Attempt_ = Id, .Connection_ = Known.Sent_.Connection_};
  Failure.Failure_ = chance(0.5) ? calls::AttemptFailure::Truncated
                                 : calls::AttemptFailure::ConnectionReset;
  if (chance(0.4)) {
    Failure.Written_ = calls::WriteState::NothingWritten;
    Known.MayHaveRun_ = false;
  }
  Connections_.erase(Known.Sent_.Connection_);
  tell(Failure);
}

void RandomWorld::answerLate() {
  if (Attempts_.empty())
    return;
  const auto Known = pick(Attempts_, Rng_);
  if (Known->second.IsOver_)
    tell(AttemptAnswered{.Attempt_ = Known->first,
                         .Connection_ = Known->second.Sent_.Connection_,
                         .EchoedAttempt_ = Known->first,
                         .Status_ = 200,
                         .Report_ = std::nullopt,
                         .StartId_ = std::nullopt});
}

void RandomWorld::loseCaller() {
  if (!Calls_.empty())
    tell(CallerGone{pick(Calls_, Rng_)->first});
}

void RandomWorld::closeIdle() {
  std::vector<framework::ConnectionId> Idle;
  for (const auto &[Id, Known] : Connections_)
    if (Known.IsOpen_ && !Known.Carries_)
      Idle.push_back(Id);
  if (Idle.empty())
    return;
  const framework::ConnectionId Id = Idle[Rng_.index(Idle.size())];
  Connections_.erase(Id);
  tell(ConnectionClosed{Id});
}

void RandomWorld::publish() {
  if (chance(0.2))
    IsPlatformDown_ = !IsPlatformDown_;
  if (chance(0.5))
    ++DocumentRevision_;
  else
    ++ListRevision_;
  if (!chance(0.3))
    return;
  // The configuration service goes back to an older value for once.
  tell(DocumentPublished{framework::Revision(1), documentText(1)});
}

Duration RandomWorld::anyDelay() {
  const double Dice = Rng_.fraction();
  if (Dice < 0.003) {
    // The process is paused: time passes without events.
    moveTo(Now_.Monotonic_ + milliseconds(600 + Rng_.index(40'000)));
    return Duration::zero();
  }
  const double MeanMicros = Dice < 0.05 ? 100'000 : 2'000;
  return Duration(static_cast<std::int64_t>(Rng_.exponential(MeanMicros)));
}

} // namespace cranberryspool::decision
