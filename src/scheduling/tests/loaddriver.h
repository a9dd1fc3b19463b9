#ifndef CRANBERRYSPOOL_SCHEDULING_TESTS_LOADDRIVER_H
#define CRANBERRYSPOOL_SCHEDULING_TESTS_LOADDRIVER_H

#include "callpolicy.h"
#include "framework/random.h"
#include "loadcase.h"
#include "scheduling/workestimate.h"

#include <functional>
#include <map>
#include <queue>

namespace cranberryspool::scheduling {

/// Runs a load case in virtual time: one service, no network. Arrivals and run
/// times are the same for all policies.
class LoadDriver {
public:
  LoadDriver(const LoadCase &Case, CallPolicy &Policy, std::uint64_t Seed)
      : Case_(Case), Policy_(Policy), Arrivals_(Seed), Places_(Seed + 1),
        Work_(Case.Kinds_.size()), Results_(Case.Kinds_.size()),
        Busy_(Case.Targets_) {}

  LoadResult run() {
    for (std::size_t Kind = 0; Kind < Case_.Kinds_.size(); ++Kind)
      scheduleArrival(Kind, Start);
    while (!Events_.empty() && Events_.top().At_ < End) {
      const Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Run_();
      startCalls();
    }
    return result();
  }

private:
  static constexpr Instant Start{std::chrono::seconds(100)};
  static constexpr Instant Burst = Start + std::chrono::seconds(40);
  static constexpr Instant BurstEnd = Burst + std::chrono::seconds(20);
  static constexpr Instant End = BurstEnd + std::chrono::seconds(8);

  struct Event {
    Instant At_;
    std::uint64_t Number_ = 0;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Number_) < std::pair(At_, Number_);
    }
  };
  struct Sent {
    std::size_t Kind_ = 0;
    Instant Arrival_;
    Instant FirstArrival_;
    std::uint32_t Retries_ = 0;
  };

  void at(Instant Time, std::function<void()> Run) {
    Events_.push({Time, ++Numbers_, std::move(Run)});
  }
  bool isBurst(Instant Time) const { return Time >= Burst && Time < BurstEnd; }

  void scheduleArrival(std::size_t Kind, Instant After) {
    const KindLoad &Load = Case_.Kinds_[Kind];
    const double Rate =
        Load.UsualPerSecond_ * (isBurst(After) ? Load.BurstFactor_ : 1);
    const Instant Time =
        After +
        Duration(static_cast<std::int64_t>(Arrivals_.exponential(1e6 / Rate)));
    at(Time, [this, Kind, Time] {
      offer({Kind, Time, Time, Case_.Retries_});
      scheduleArrival(Kind, Time);
    });
  }

  void offer(Sent Call) {
    const KindLoad &Load = Case_.Kinds_[Call.Kind_];
    QueuedCall Queued{
        CallId(++LastId_), {}, Load.urgency(), Now_, Now_ + Load.Timeout_};
    Queued.Priority_ = Load.Priority_;
    Queued.Kind_ = static_cast<std::uint32_t>(Call.Kind_);
    Queued.Objective_ = Load.Objective_;
    Queued.ExpectedWork_ = Work_[Call.Kind_].median();
    Queued.LatestTimelyStart_ = Now_ + Load.Objective_ - Queued.ExpectedWork_;
    Call.Arrival_ = Now_;
    Calls_[Queued.Call_] = Call;
    if (Call.FirstArrival_ == Now_ && isBurst(Now_))
      ++Results_[Call.Kind_].Sent_;
    if (const auto RetryAfter = Policy_.offer(Queued, Now_))
      refuse(Queued.Call_, *RetryAfter);
  }

  void refuse(CallId Id, Duration RetryAfter) {
    Sent Call = Calls_.at(Id);
    Calls_.erase(Id);
    if (isBurst(Call.FirstArrival_))
      Results_[Call.Kind_].RefusalSeconds_ +=
          std::chrono::duration<double>(Now_ - Call.Arrival_).count();
    if (Call.Retries_ == 0)
      return;
    --Call.Retries_;
    at(Now_ + std::max(RetryAfter, Duration(1)), [this, Call] { offer(Call); });
  }

  void startCalls() {
    for (const CallId Refused : Policy_.takeRefused(Now_))
      refuse(Refused, Policy_.drainTime(Now_));
    while (Running_ < 2 * Case_.Targets_) {
      const auto Next = Policy_.start(Now_);
      if (!Next)
        return;
      std::size_t Target = Places_.index(Case_.Targets_);
      while (Busy_[Target] >= 2)
        Target = (Target + 1) % Case_.Targets_;
      ++Busy_[Target];
      ++Running_;
      const Sent Call = Calls_.at(*Next);
      Calls_.erase(*Next);
      const Duration Elapsed = runTime(Call.Kind_, Target);
      at(Now_ + Elapsed, [=, this] { end(Call, Target, Elapsed); });
    }
  }

  Duration runTime(std::size_t Kind, std::size_t Target) {
    double Factor = 0.5 + Places_.fraction();
    const auto Epoch = static_cast<std::uint64_t>(
        Now_.time_since_epoch() / std::chrono::milliseconds(500));
    if (Case_.IsAlwaysSlow_ || isBurst(Now_))
      if (framework::Random(Epoch * 1000 + Target).fraction() <
          Case_.SlowShare_)
        Factor *= Case_.SlowFactor_;
    return std::chrono::duration_cast<Duration>(Case_.Kinds_[Kind].Work_ *
                                                Factor);
  }

  void end(const Sent &Call, std::size_t Target, Duration Elapsed) {
    const KindLoad &Load = Case_.Kinds_[Call.Kind_];
    --Busy_[Target];
    --Running_;
    Work_[Call.Kind_].record(Elapsed);
    Policy_.recordEnded(Load.urgency(), Elapsed, Now_);
    if (!isBurst(Call.FirstArrival_) || Now_ > Call.Arrival_ + Load.Timeout_)
      return;
    KindResult &Result = Results_[Call.Kind_];
    ++(Now_ <= Call.FirstArrival_ + Load.Objective_ ? Result.InTime_
                                                    : Result.Late_);
  }

  LoadResult result() const {
    LoadResult Result{Results_};
    double Weights = 0;
    for (std::size_t Kind = 0; Kind < Results_.size(); ++Kind) {
      const KindResult &Got = Results_[Kind];
      const double Weight =
          4.0 / std::pow(2.0, std::min(Case_.Kinds_[Kind].Priority_, 2U));
      Weights += Weight * Got.Sent_;
      Result.Cost_ += Weight * (Got.Sent_ - Got.InTime_ - Got.Late_ / 2);
    }
    Result.Cost_ /= Weights;
    return Result;
  }

  const LoadCase &Case_;
  CallPolicy &Policy_;
  framework::Random Arrivals_;
  framework::Random Places_;
  std::vector<WorkEstimate> Work_;
  std::vector<KindResult> Results_;
  std::vector<std::size_t> Busy_;
  std::size_t Running_ = 0;
  std::priority_queue<Event> Events_;
  std::uint64_t Numbers_ = 0;
  std::uint64_t LastId_ = 0;
  Instant Now_ = Start;
  std::map<CallId, Sent> Calls_;
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TESTS_LOADDRIVER_H
