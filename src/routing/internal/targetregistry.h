#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETREGISTRY_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETREGISTRY_H

#include "routing/candidates.h"
#include "routing/internal/eligiblegroup.h"
#include "routing/internal/requestlimits.h"
#include "routing/internal/targethealth.h"
#include "routing/internal/tokenbucket.h"
#include "routing/types/serviceload.h"
#include "routing/types/targetchange.h"
#include "routing/types/targetstate.h"

#include <array>
#include <optional>
#include <queue>
#include <span>
#include <vector>

namespace cranberryspool::routing {

/// The state of all targets and, for each service, the targets that are
/// eligible for one more attempt. All operations except `setTargets` and
/// `probeCandidates` cost at most O(log n).
class TargetRegistry {
public:
  explicit TargetRegistry(framework::ZoneId LocalZone)
      : LocalZone_(LocalZone) {}

  /// Replaces the list of targets. Targets that are not in the new list are not
  /// selected any more.
  void setTargets(std::span<const TargetDescription> Targets,
                  framework::Instant Now);
  void setLimits(framework::TargetId Target, const TargetLimits &Limits);

  void setSlotShare(framework::TargetId Target, std::uint32_t Slots,
                    framework::Instant Now);

  void recordSent(framework::TargetId Target, framework::Instant Now);
  void recordEnded(framework::TargetId Target, AttemptResult Result,
                   framework::Duration Elapsed, framework::Instant Now);
  void recordReport(framework::TargetId Target, const LoadReport &Report,
                    framework::Instant Now);
  void recordRequestLimit(framework::TargetId Target, RequestRate Limit,
                          framework::Instant StatedAt);
  /// Sets this instance's rank among the senders to a limited target.
  void setSenderRank(framework::TargetId Target,
                     std::optional<SenderRank> Rank);
  /// Records a probe without a response.
  void recordProbeFailure(framework::TargetId Target, framework::Instant Now);
  /// Records the start id of a response or a probe. Returns true when it shows
  /// that the target has restarted.
  bool recordStartId(framework::TargetId Target, framework::Incarnation Start,
                     framework::Instant Now);
  void markCold(framework::TargetId Target, framework::Instant Now);
  void markWarm(framework::TargetId Target, framework::Instant Now);
  void recordPeerInFlight(framework::TargetId Target, std::uint32_t Sum,
                          framework::Instant Now);

  /// Ends the ejections, back-offs and cold starts that have expired.
  void advance(framework::Instant Now);
  framework::Instant nextWakeUp() const;

  std::uint32_t inFlight(framework::TargetId Target) const;
  bool isKnown(framework::TargetId Target) const;
  bool isCold(framework::TargetId Target) const;
  RequestRate requestLimit(framework::TargetId Target) const;
  std::size_t limitedTargetCount() const {
    return RequestLimits_.limited().size();
  }
  /// Returns an eligible target of the service and the group whose request
  /// limit is to be confirmed by sending a request to it.
  std::optional<framework::TargetId>
  targetToConfirm(EligibleGroup Group, const SelectionRequest &Request,
                  framework::Instant Now) const;
  /// Returns true when the target is unconfirmed while a confirmed one of its
  /// service is eligible.
  bool isAvoided(framework::TargetId Target) const;
  /// Returns the load that the warm targets of the service report.
  ServiceLoad serviceLoad(framework::ServiceId Service,
                          framework::Instant Now) const;
  framework::Duration serviceLatency(framework::ServiceId Service) const;
  double slowdown(framework::TargetId Target, framework::Instant Now) const;
  const TargetState &state(framework::TargetId Target) const;

  /// Returns one group of the eligible targets of a service as the input of a
  /// policy. `Request` and this object must outlive the result.
  Candidates candidates(EligibleGroup Group, const SelectionRequest &Request,
                        framework::Instant Now) const;

  /// Appends at most `Max` targets without a recent report, whether with a
  /// response or to a probe. Those with the oldest report come first.
  void probeCandidates(std::size_t Max, framework::Instant Now,
                       std::vector<framework::TargetId> &Output) const;

  std::vector<TargetChange> takeChanges();

private:
  static constexpr std::uint32_t NotEligible = ~0U;

  enum class WarmupState { Unknown, Cold, Warm };

  struct Record {
    TargetHealth Health_;
    WarmupState WarmupState_ = WarmupState::Unknown;
    framework::Instant ColdSince_{};
    std::optional<framework::Incarnation> StartId_;
    bool IsListed_ = false;
    bool IsDraining_ = false;
    /// The position among the eligible targets of the service in
    /// `EligibleGroup_`.
    std::uint32_t EligibleIndex_ = NotEligible;
    EligibleGroup EligibleGroup_ = EligibleGroup::Confirmed;
    std::uint32_t ConsecutiveSlowAnswers_ = 0;
    /// The target could not be connected to. It is not selected until this time
    /// unless it reports earlier.
    framework::Instant UnreachableUntil_{};
    std::uint32_t ConsecutiveProbeFailures_ = 0;
    /// The end of a cold start whose length the target has reported.
    framework::Instant ColdUntil_{};
    TokenBucket ColdBucket_;
    /// The number of attempts at a cold target that ended without a response
    /// and may still run there. It is reset at `PossiblyRunningUntil_`.
    std::uint32_t PossiblyRunning_ = 0;
    framework::Instant PossiblyRunningUntil_{};
  };

  struct ServiceState {
    std::vector<framework::TargetId> &eligible(EligibleGroup Group) {
      return Eligible_[static_cast<std::size_t>(Group)];
    }
    const std::vector<framework::TargetId> &
    eligible(EligibleGroup Group) const {
      return Eligible_[static_cast<std::size_t>(Group)];
    }

    /// Indexed by `EligibleGroup`.
    std::array<std::vector<framework::TargetId>, 2> Eligible_;
    std::uint32_t ListedCount_ = 0;
    std::uint32_t EjectedCount_ = 0;
    double LatencyMicros_ = 0;
    /// The moving average of the slowdown that the targets report; 1 is the
    /// usual speed.
    double Slowdown_ = 1;
  };

  struct Timer {
    framework::Instant At_;
    framework::TargetId Target_;

    friend bool operator>(const Timer &Left, const Timer &Right) {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Target_ > Right.Target_;
    }
  };

  void addOrUpdate(const TargetDescription &Description, bool IsFirstList,
                   framework::Instant Now);
  /// Handles that a target is leaving or that its availability zone is out of
  /// service: a warm target's state becomes unknown.
  void handleLeaving(framework::TargetId Target);
  /// Handles that a target is no longer leaving or that its availability zone
  /// is back in service.
  void readmit(framework::TargetId Target, framework::Instant Now);
  void remove(framework::TargetId Target, framework::Instant Now);
  /// Returns the result by which the target's health is judged. Some targets
  /// reset the connections of requests that they have no room for; while the
  /// service is busy this is no failure of theirs.
  AttemptResult healthResult(framework::TargetId Target, AttemptResult Result,
                             framework::Instant Now) const;
  void recordPossiblyRunning(framework::TargetId Target,
                             framework::Instant Now);
  void setCold(framework::TargetId Target, framework::Instant Now);
  void setWarm(framework::TargetId Target);
  void markUnreachable(framework::TargetId Target, framework::Instant Now);
  /// Sets the remaining warm-up time that the target or the list has reported.
  void setWarmupLeft(framework::TargetId Target, framework::Duration Left,
                     framework::Instant Now);
  /// Returns true when the list provides the target's remaining warm-up time,
  /// so that cold starts need not be inferred.
  bool reportsWarmup(framework::TargetId Target) const;
  void applyHealth(framework::TargetId Target, framework::Instant Now);
  void recordLatency(framework::TargetId Target, framework::Duration Elapsed,
                     framework::Instant Now);
  void updateEligibility(framework::TargetId Target, framework::Instant Now);
  void addEligible(framework::TargetId Target);
  void removeEligible(framework::TargetId Target);
  EligibleGroup groupOf(framework::TargetId Target) const;
  bool isEligible(framework::TargetId Target, framework::Instant Now) const;
  /// Returns when a slot of the target is expected to be free, judged by its
  /// last report, by what this instance has sent since, and by the time that
  /// requests take; nothing when one is free already or the target's reports
  /// are not known to arrive in time.
  std::optional<framework::Instant> fullUntil(const TargetState &State) const;
  bool isFull(const TargetState &State, framework::Instant Now) const {
    const auto Until = fullUntil(State);
    return Until && Now < *Until;
  }
  void handleTimer(framework::TargetId Target, framework::Instant Now);
  void scheduleTimer(framework::Instant At, framework::TargetId Target);
  ServiceState &serviceOf(framework::TargetId Target);
  bool isCold(const Record &Entry) const {
    return Entry.WarmupState_ != WarmupState::Warm;
  }

  framework::ZoneId LocalZone_;
  bool HasTargetList_ = false;
  /// The latest time that was passed to `advance` or `setTargets`.
  framework::Instant LatestTime_{};
  /// The states and the records are indexed by target id.
  std::vector<TargetState> States_;
  std::vector<Record> Records_;
  RequestLimits RequestLimits_;
  /// The services are indexed by service id.
  std::vector<ServiceState> Services_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> Timers_;
  std::vector<TargetChange> Changes_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETREGISTRY_H
