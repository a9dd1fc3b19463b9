#ifndef CRANBERRYSPOOL_SCHEDULING_KINDSCHEDULE_H
#define CRANBERRYSPOOL_SCHEDULING_KINDSCHEDULE_H

#include "framework/time.h"
#include "scheduling/types/kindkey.h"
#include "scheduling/types/kindturn.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cranberryspool::scheduling {

/// Decides which kind of calls has the next turn on a service that kinds with
/// different priorities or objectives share, and whose calls are refused first.
///
/// Responds to more calls than the service can start. The highest rank is next
/// (static priority), but each kind is served at least a quarter as often as
/// all are. The kinds of one rank share what the rank gets by weighted max-min
/// fairness (start-time fair queueing). A kind without calls lends its share,
/// and gets it back with the next start.
///
/// The weight of a kind is its usual rate, but no less than a third of its
/// present one, divided by the expected work of a call: to refuse long work
/// makes room for more calls (weighted shortest processing time).
class KindSchedule {
public:
  /// Records that a call arrived. Times of zero or less mean that there is no
  /// objective, or that the work is not known.
  void recordArrival(KindKey Kind, framework::Duration Objective,
                     framework::Duration ExpectedWork, framework::Instant Now);

  /// Returns whether kinds of different ranks or objectives were seen.
  bool isShared() const { return IsShared_; }

  /// Adds a queued call of the kind.
  void add(KindKey Kind);
  /// Removes a queued call that does not start.
  void remove(KindKey Kind);
  /// Removes a queued call that starts, and charges its kind.
  void recordStarted(KindKey Kind);

  /// Returns the next turn among the kinds for which `MayStart(KindKey)` holds.
  /// `LatestStartOf(KindKey)` returns the latest timely start of the next call
  /// of a kind.
  template <typename Predicate, typename LatestStart>
  std::optional<KindTurn> next(const Predicate &MayStart,
                               const LatestStart &LatestStartOf) const {
    const KindState *Best = nullptr;
    for (const KindState &State : Kinds_) {
      if (State.Queued_ == 0)
        continue;
      // Kinds are ordered by rank, so only kinds of the same rank can be better
      // than the best one, unless they are owed a turn.
      if (Best && State.Key_.Rank_ != Best->Key_.Rank_ &&
          (isOwed(*Best) || !isOwed(State)))
        continue;
      if (MayStart(State.Key_) &&
          (!Best || isBefore(State, *Best, LatestStartOf)))
        Best = &State;
    }
    if (!Best)
      return std::nullopt;
    return KindTurn{Best->Key_,
                    isOwed(*Best) ? TurnReason::Minimum : TurnReason::Rank};
  }

  /// Returns the kind of which a call is refused when too many are queued: the
  /// lowest rank with more than a few calls, and in it the kind whose last call
  /// is due last relative to its share. There must be a queued call.
  KindKey furthestOverShare() const { return furthestWith(nullptr); }
  /// Returns whether `furthestOverShare` would be this kind if one more of its
  /// calls were queued.
  bool wouldBeFurthestOverShare(KindKey Kind) const {
    return furthestWith(find(Kind)) == Kind;
  }
  /// Returns the number of calls of all kinds that start before a call of this
  /// kind that has `OwnCallsAhead` calls of its kind before it.
  std::size_t countBefore(KindKey Kind, std::size_t OwnCallsAhead) const;

private:
  struct KindState {
    KindKey Key_;
    framework::Duration Objective_{};
    framework::Duration Work_{};
    /// Calls counted with exponential decay.
    double Usual_ = 0;
    double Present_ = 0;
    double Weight_ = 1;
    /// The virtual time within the rank at which the next call is due, and that
    /// at which the last one was.
    double Tag_ = 0;
    double LastTag_ = 0;
    /// The calls that are owed to the kind, so that it gets the minimum.
    double Owed_ = 0;
    std::size_t Queued_ = 0;

    double tagAfter(std::size_t Calls) const {
      return Tag_ + static_cast<double>(Calls) / Weight_;
    }
  };

  static bool isOwed(const KindState &State) { return State.Owed_ >= 1; }
  template <typename LatestStart>
  static bool isBefore(const KindState &Left, const KindState &Right,
                       const LatestStart &LatestStartOf) {
    if (isOwed(Left) != isOwed(Right))
      return isOwed(Left);
    if (Left.Key_.Rank_ != Right.Key_.Rank_)
      return Left.Key_.Rank_ < Right.Key_.Rank_;
    if (Left.Tag_ != Right.Tag_)
      return Left.Tag_ < Right.Tag_;
    return LatestStartOf(Left.Key_) < LatestStartOf(Right.Key_);
  }
  /// Returns the kind furthest over its share with one more call of `Added`.
  KindKey furthestWith(const KindState *Added) const;
  const KindState *find(KindKey Kind) const;
  KindState &state(KindKey Kind);
  void countRemoved(KindState &Removed);
  double startTag(const KindState &State) const;
  /// Returns the number of starts in which the minimum serves so many calls of
  /// the kind.
  double startsByMinimum(const KindState &State, std::size_t Calls) const;
  /// Lets the counts decay, and forgets kinds without calls.
  void decay(framework::Instant Now);
  void updateWeights();
  static double weight(const KindState &State, double UsualWindow);
  void forgetIdle();

  /// Ordered by rank.
  std::vector<KindState> Kinds_;
  bool IsShared_ = false;
  std::size_t Queued_ = 0;
  /// The sum of the present loads.
  double Present_ = 0;
  framework::Instant BegunAt_{};
  framework::Instant UpdatedAt_{};
};

} // namespace cranberryspool::scheduling

#endif // CRANBERRYSPOOL_SCHEDULING_KINDSCHEDULE_H
