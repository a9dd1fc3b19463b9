#ifndef CRANBERRYSPOOL_SCHEDULING_TESTS_CALLPOLICY_H
#define CRANBERRYSPOOL_SCHEDULING_TESTS_CALLPOLICY_H

#include "admission/admissionqueue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace cranberryspool::scheduling {

using admission::QueuedCall;
using document::Urgency;
using framework::CallId;
using framework::Duration;
using framework::Instant;

/// The order in which the calls of one service start, and which are refused.
class CallPolicy {
public:
  virtual ~CallPolicy() = default;
  /// Returns the time after which a refused call may be repeated.
  virtual std::optional<Duration> offer(const QueuedCall &Call,
                                        Instant Now) = 0;
  /// Returns the calls to refuse now.
  virtual std::vector<CallId> takeRefused(Instant Now) = 0;
  /// Removes and returns the call that starts.
  virtual std::optional<CallId> start(Instant Now) = 0;
  virtual void recordEnded(Urgency Urgency, Duration Elapsed, Instant Now) = 0;
  virtual Duration drainTime(Instant Now) const = 0;
};

/// The admission queue of an instance.
class QueuePolicy : public CallPolicy {
public:
  QueuePolicy(LoadSheddingMode Mode, std::uint32_t Slots) : Queue_({Mode}) {
    Queue_.setCapacity(Service, {Slots, 1});
  }
  std::optional<Duration> offer(const QueuedCall &Call, Instant Now) override {
    const auto Offered = Queue_.offer(Call, Now);
    return Offered ? std::nullopt : std::optional(Offered.error().RetryAfter_);
  }
  std::vector<CallId> takeRefused(Instant Now) override {
    return Queue_.takeExpired(Now);
  }
  std::optional<CallId> start(Instant Now) override {
    const auto Next = Queue_.next(Service, Now);
    if (Next)
      Queue_.recordStarted(*Next, Now);
    return Next;
  }
  void recordEnded(Urgency Urgency, Duration Elapsed, Instant Now) override {
    Queue_.recordEnded(Service, Urgency, routing::AttemptResult::Answered,
                       Elapsed, routing::ServiceLoad::Unknown, Now);
  }
  Duration drainTime(Instant Now) const override {
    return Queue_.drainTime(Service, Now);
  }

private:
  static constexpr framework::ServiceId Service{};
  admission::AdmissionQueue Queue_;
};

/// A policy of the literature over a list of calls. As in the admission queue,
/// ordinary calls get four fifths of the slots, at most 512 calls are queued,
/// and a call that can no longer be answered by its deadline is refused.
class ListPolicy : public CallPolicy {
public:
  explicit ListPolicy(std::uint32_t Slots)
      : Slots_(Slots), OrdinarySlots_(Slots * 4 / 5) {}

  std::optional<Duration> offer(const QueuedCall &Call, Instant Now) override {
    if (Calls_.size() >= 512 || !admits(Call, Now))
      return std::max(drainTime(Now), Duration(std::chrono::milliseconds(10)));
    Calls_.push_back(Call);
    return std::nullopt;
  }
  std::vector<CallId> takeRefused(Instant Now) override {
    std::vector<CallId> Refused = std::exchange(Dropped_, {});
    std::erase_if(Calls_, [&](const QueuedCall &Call) {
      if (Now + Call.ExpectedWork_ < Call.Deadline_)
        return false;
      Refused.push_back(Call.Call_);
      return true;
    });
    return Refused;
  }
  std::optional<CallId> start(Instant Now) override {
    while (const auto Place = choose(Now)) {
      const QueuedCall Call = Calls_[*Place];
      Calls_.erase(Calls_.begin() + static_cast<std::ptrdiff_t>(*Place));
      if (drops(Call, Now)) {
        Dropped_.push_back(Call.Call_);
        continue;
      }
      ++Running_[Call.Urgency_ == Urgency::Urgent ? 0 : 1];
      const double Interval = static_cast<double>((Now - StartedAt_).count());
      StartMicros_ += 0.2 * (Interval - StartMicros_);
      StartedAt_ = Now;
      return Call.Call_;
    }
    return std::nullopt;
  }
  void recordEnded(Urgency Urgency, Duration, Instant) override {
    --Running_[Urgency == document::Urgency::Urgent ? 0 : 1];
  }
  Duration drainTime(Instant) const override {
    return Duration(static_cast<std::int64_t>(
        StartMicros_ * static_cast<double>(Calls_.size())));
  }

protected:
  static Instant due(const QueuedCall &Call) {
    return Call.Arrival_ + Call.Objective_;
  }
  static bool isLate(const QueuedCall &Call, Instant Now) {
    return Now + Call.ExpectedWork_ > due(Call);
  }
  static double weight(const QueuedCall &Call) {
    return 4.0 / std::pow(2.0, std::min(Call.Priority_, 2U));
  }
  /// Returns the place of the call with the lowest key among those that may
  /// start.
  template <typename Key> std::optional<std::size_t> lowest(const Key &KeyOf) {
    std::optional<std::size_t> Best;
    for (std::size_t Place = 0; Place < Calls_.size(); ++Place)
      if (mayStart(Calls_[Place]) &&
          (!Best || KeyOf(Calls_[Place]) < KeyOf(Calls_[*Best])))
        Best = Place;
    return Best;
  }
  bool mayStart(const QueuedCall &Call) const {
    return Running_[0] + Running_[1] < Slots_ &&
           (Call.Urgency_ == Urgency::Urgent || Running_[1] < OrdinarySlots_);
  }
  virtual std::optional<std::size_t> choose(Instant Now) = 0;
  virtual bool admits(const QueuedCall &, Instant) { return true; }
  virtual bool drops(const QueuedCall &, Instant) { return false; }

  std::uint32_t Slots_;
  std::uint32_t OrdinarySlots_;
  std::vector<QueuedCall> Calls_;
  std::vector<CallId> Dropped_;
  std::uint32_t Running_[2] = {0, 0};
  double StartMicros_ = 0;
  Instant StartedAt_{};
};

/// Earliest deadline first, by the latency objective.
struct EarliestDeadline : ListPolicy {
  using ListPolicy::ListPolicy;
  std::optional<std::size_t> choose(Instant) override {
    return lowest([](const QueuedCall &Call) { return due(Call); });
  }
};

/// The newest call that can be in time, then the oldest of the others.
struct AdaptiveLifo : ListPolicy {
  using ListPolicy::ListPolicy;
  std::optional<std::size_t> choose(Instant Now) override {
    return lowest([Now](const QueuedCall &Call) {
      const auto Arrival = Call.Arrival_.time_since_epoch();
      return isLate(Call, Now) ? std::pair(1, Arrival) : std::pair(0, -Arrival);
    });
  }
};

/// The least time left before the call is late; late calls last.
struct MinimumSlack : ListPolicy {
  using ListPolicy::ListPolicy;
  std::optional<std::size_t> choose(Instant Now) override {
    return lowest([Now](const QueuedCall &Call) {
      return std::pair(isLate(Call, Now), due(Call) - Call.ExpectedWork_);
    });
  }
};

/// Weighted shortest processing time.
struct ShortestWork : ListPolicy {
  using ListPolicy::ListPolicy;
  std::optional<std::size_t> choose(Instant) override {
    return lowest([](const QueuedCall &Call) {
      return std::pair(static_cast<double>(Call.ExpectedWork_.count()) /
                           weight(Call),
                       Call.Arrival_);
    });
  }
};

/// CoDel (Nichols and Jacobson 2012) with a target of 50 ms and an interval of
/// 200 ms over a queue in the order of arrival.
struct CoDel : ListPolicy {
  using ListPolicy::ListPolicy;
  std::optional<std::size_t> choose(Instant) override {
    return lowest([](const QueuedCall &Call) { return Call.Arrival_; });
  }
  bool drops(const QueuedCall &Call, Instant Now) override {
    if (Now - Call.Arrival_ < std::chrono::milliseconds(50)) {
      AboveSince_.reset();
      Drops_ = 0;
      return false;
    }
    if (!AboveSince_)
      AboveSince_ = Now;
    const auto Interval = std::chrono::duration_cast<Duration>(
        std::chrono::milliseconds(200) / std::sqrt(1.0 + Drops_));
    if (Now < *AboveSince_ + Interval)
      return false;
    AboveSince_ = Now;
    ++Drops_;
    return true;
  }
  std::optional<Instant> AboveSince_;
  double Drops_ = 0;
};

/// Moore-Hodgson: in the order of the objectives, the longest call of those
/// before the first late one is put aside until none is late.
struct MooreHodgson : ListPolicy {
  using ListPolicy::ListPolicy;
  std::optional<std::size_t> choose(Instant Now) override {
    std::vector<std::size_t> Order;
    for (std::size_t Place = 0; Place < Calls_.size(); ++Place)
      if (mayStart(Calls_[Place]))
        Order.push_back(Place);
    std::sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
      return due(Calls_[Left]) < due(Calls_[Right]);
    });
    const auto Work = [&](std::size_t Place) {
      return Calls_[Place].ExpectedWork_;
    };
    const auto IsShorter = [&](auto Left, auto Right) {
      return Work(Left) < Work(Right);
    };
    std::vector<std::size_t> Chosen;
    Duration Total{};
    for (const std::size_t Place : Order) {
      Chosen.push_back(Place);
      std::push_heap(Chosen.begin(), Chosen.end(), IsShorter);
      Total += Work(Place);
      if (Now + Total / Slots_ + Work(Place) <= due(Calls_[Place]))
        continue;
      std::pop_heap(Chosen.begin(), Chosen.end(), IsShorter);
      Total -= Work(Chosen.back());
      Chosen.pop_back();
    }
    if (Chosen.empty())
      return Order.empty() ? std::nullopt : std::optional(Order.front());
    return *std::min_element(Chosen.begin(), Chosen.end(),
                             [&](auto Left, auto Right) {
                               return due(Calls_[Left]) < due(Calls_[Right]);
                             });
  }
};

/// Priority admission with a level (as DAGOR, Zhou et al. 2018): calls above
/// the level are refused on arrival; the level falls while calls wait for more
/// than 20 ms on average and rises otherwise.
struct PriorityLevel : ListPolicy {
  using ListPolicy::ListPolicy;
  bool admits(const QueuedCall &Call, Instant Now) override {
    if (Now - WindowStart_ >= std::chrono::milliseconds(100)) {
      const bool IsLong = Starts_ == 0
                              ? !Calls_.empty()
                              : Wait_ / Starts_ > std::chrono::milliseconds(20);
      Level_ = std::clamp(Level_ + (IsLong ? -1 : 1), 0, 2);
      WindowStart_ = Now;
      Wait_ = {};
      Starts_ = 0;
    }
    return static_cast<int>(Call.Priority_) <= Level_;
  }
  std::optional<std::size_t> choose(Instant) override {
    return lowest([](const QueuedCall &Call) {
      return std::pair(Call.Priority_, Call.Arrival_);
    });
  }
  bool drops(const QueuedCall &Call, Instant Now) override {
    Wait_ += Now - Call.Arrival_;
    ++Starts_;
    return false;
  }
  int Level_ = 2;
  Instant WindowStart_{};
  Duration Wait_{};
  int Starts_ = 0;
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_TESTS_CALLPOLICY_H
