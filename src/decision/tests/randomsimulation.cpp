#include "decision/tests/randomsimulation.h"

#include <iterator>

namespace cranberryspool::decision {

namespace {

using framework::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Map> auto pickRandom(Map &From, framework::Random &Rng) {
  auto Position = From.begin();
  std::advance(Position, static_cast<std::ptrdiff_t>(Rng.index(From.size())));
  return Position;
}

} // namespace

RandomSimulation::RandomSimulation(std::uint64_t Seed)
    : Rng_(Seed),
      Core_(CoreSettings{.Self_ = framework::InstanceName("entry-1"),
                         .Incarnation_ = framework::Incarnation(1),
                         .Zone_ = framework::ZoneName("ikeja"),
                         .PeerAddress_ = "127.0.0.1:7000"},
            framework::Random(Seed + 1)),
      Now_{framework::Instant(seconds(100)),
           framework::WallTime(seconds(1'800'000'000))} {}

void RandomSimulation::run(std::uint32_t Steps) {
  deliver(Tick{});
  pass(seconds(9));
  for (std::uint32_t Step = 0; Step < Steps; ++Step) {
    pass(randomDelay());
    performRandomAction();
  }
}

void RandomSimulation::finish() {
  IsPlatformDown_ = false;
  deliver(StopRequested{});
  pass(seconds(5));
  for (auto &[Id, Entry] : Attempts_)
    if (!Entry.HasEnded_ && randomChance(0.5))
      answer(Id);
  pass(seconds(120));
  for (const auto &[Id, Entry] : Calls_)
    check(Entry.HasEnded_, "every call ends");
  check(HasStopped_, "a stop finishes");
}

void RandomSimulation::performRandomAction() {
  const double Draw = Rng_.fraction();
  if (Draw < 0.40)
    startRandomCalls();
  else if (Draw < 0.80)
    endRandomAttempt();
  else if (Draw < 0.85)
    disconnectRandomCaller();
  else if (Draw < 0.88)
    sendLateAnswer();
  else if (Draw < 0.91)
    closeIdleConnection();
  else if (Draw < 0.94)
    publishRandomChange();
  else
    deliver(Tick{});
}

void RandomSimulation::startRandomCalls() {
  const std::uint64_t Count = randomChance(0.03) ? 20 : 1;
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    CallArrived Arrival;
    Arrival.Call_ = framework::CallId(++LastCallId_);
    const bool IsIdempotent = randomChance(0.5);
    Arrival.Method_ = IsIdempotent ? "GET" : "POST";
    Arrival.Path_ = IsIdempotent ? "/certificates/7" : "/certificates";
    if (randomChance(0.3))
      Arrival.Timeout_ = milliseconds(Rng_.index(400));
    Arrival.Attempt_ = randomChance(0.1) ? 2 : 1;
    if (!IsIdempotent && randomChance(0.1))
      Arrival.Key_ =
          framework::IdempotencyKey("01a3185c-5000-7000-8000-00000000000" +
                                    std::to_string(Rng_.index(10)));
    Calls_[Arrival.Call_] = SimulatedCall{.IsIdempotent_ = IsIdempotent};
    deliver(Arrival);
  }
}

void RandomSimulation::endRandomAttempt() {
  std::vector<framework::AttemptId> Running;
  for (const auto &[Id, Entry] : Attempts_)
    if (!Entry.HasEnded_)
      Running.push_back(Id);
  if (Running.empty())
    return;
  const framework::AttemptId Id = Running[Rng_.index(Running.size())];
  if (randomChance(0.1))
    deliver(AnswerBegan{Id, Attempts_[Id].Sent_.Connection_});
  if (Attempts_[Id].HasEnded_)
    return;
  if (randomChance(0.8))
    answer(Id);
  else
    fail(Id);
}

void RandomSimulation::answer(framework::AttemptId Id) {
  SimulatedAttempt &Entry = Attempts_[Id];
  Entry.HasEnded_ = true;
  AttemptAnswered Answer{.Attempt_ = Id,
                         .Connection_ = Entry.Sent_.Connection_,
                         .EchoedAttempt_ = Id,
                         .Status_ = randomChance(0.1) ? 500U : 200U,
                         .Report_ = routing::LoadReport{},
                         .StartId_ = framework::Incarnation(1),
                         .IsReusable_ = randomChance(0.95)};
  const double Draw = Rng_.fraction();
  if (Draw < 0.05)
    Answer.EchoedAttempt_ = framework::AttemptId(Id.value() + 1);
  else if (Draw < 0.08)
    Answer.EchoedAttempt_ = std::nullopt;
  else if (Draw < 0.20)
    Answer.IsNotRun_ = true;
  const bool IsOwn = Answer.EchoedAttempt_ == Id;
  Entry.MayHaveRun_ = !(IsOwn && Answer.IsNotRun_);
  Entry.HasCompleteAnswer_ = Answer.EchoedAttempt_.value_or(Id) == Id;
  Connections_[Entry.Sent_.Connection_].CurrentAttempt_.reset();
  deliver(Answer);
}

void RandomSimulation::fail(framework::AttemptId Id) {
  SimulatedAttempt &Entry = Attempts_[Id];
  Entry.HasEnded_ = true;
  AttemptFailed Failure{.Attempt_ = Id, .Connection_ = Entry.Sent_.Connection_};
  Failure.Failure_ = randomChance(0.5) ? calls::AttemptFailure::Truncated
                                       : calls::AttemptFailure::ConnectionReset;
  if (randomChance(0.4)) {
    Failure.Written_ = calls::WriteState::NothingWritten;
    Entry.MayHaveRun_ = false;
  }
  Connections_.erase(Entry.Sent_.Connection_);
  deliver(Failure);
}

void RandomSimulation::sendLateAnswer() {
  if (Attempts_.empty())
    return;
  const auto Entry = pickRandom(Attempts_, Rng_);
  if (Entry->second.HasEnded_)
    deliver(AttemptAnswered{.Attempt_ = Entry->first,
                            .Connection_ = Entry->second.Sent_.Connection_,
                            .EchoedAttempt_ = Entry->first,
                            .Status_ = 200,
                            .Report_ = std::nullopt,
                            .StartId_ = std::nullopt});
}

void RandomSimulation::disconnectRandomCaller() {
  if (!Calls_.empty())
    deliver(CallerGone{pickRandom(Calls_, Rng_)->first});
}

void RandomSimulation::closeIdleConnection() {
  std::vector<framework::ConnectionId> Idle;
  for (const auto &[Id, Entry] : Connections_)
    if (Entry.IsOpen_ && !Entry.CurrentAttempt_)
      Idle.push_back(Id);
  if (Idle.empty())
    return;
  const framework::ConnectionId Id = Idle[Rng_.index(Idle.size())];
  Connections_.erase(Id);
  deliver(ConnectionClosed{Id});
}

void RandomSimulation::publishRandomChange() {
  if (randomChance(0.2))
    IsPlatformDown_ = !IsPlatformDown_;
  if (randomChance(0.5))
    ++DocumentRevision_;
  else
    ++ListRevision_;
  if (!randomChance(0.3))
    return;
  // The configuration service returns an older revision once.
  deliver(DocumentPublished{framework::Revision(1), documentText(1)});
}

Duration RandomSimulation::randomDelay() {
  const double Draw = Rng_.fraction();
  if (Draw < 0.003) {
    // The process is paused: time advances without events.
    advanceClockTo(Now_.Monotonic_ + milliseconds(600 + Rng_.index(40'000)));
    return Duration::zero();
  }
  const double MeanMicros = Draw < 0.05 ? 100'000 : 2'000;
  return Duration(static_cast<std::int64_t>(Rng_.exponential(MeanMicros)));
}

} // namespace cranberryspool::decision
