#ifndef CRANBERRYSPOOL_ROUTING_TARGETTABLE_H
#define CRANBERRYSPOOL_ROUTING_TARGETTABLE_H

#include "framework/random.h"
#include "routing/internal/targetregistry.h"
#include "routing/loadbalancingpolicy.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cranberryspool::routing {

/// Selects targets for attempts. Keeps the state of each target, applies the
/// rules that hold for every policy (leaving, draining, ejected and cold
/// targets, limits) and lets `Policy` select among the remaining targets.
template <LoadBalancingPolicy Policy> class TargetTable {
public:
  TargetTable(framework::ZoneId LocalZone, Policy Chooser,
              framework::Random Rng)
      : Registry_(LocalZone), Policy_(std::move(Chooser)), Rng_(Rng) {}

  /// Replaces the list of targets. Whether a target of the first list has just
  /// started is unknown. Until a report or another instance says that it is
  /// warm, it is limited to `TargetLimits::MaxColdInFlight_`, as are targets
  /// that appear in later lists.
  void setTargets(const std::vector<TargetDescription> &Targets,
                  framework::Instant Now) {
    Registry_.setTargets(Targets, Now);
  }

  /// Sets this instance's share of the limits of a listed target.
  void setLimits(framework::TargetId Target, const TargetLimits &Limits) {
    Registry_.setLimits(Target, Limits);
  }

  /// Returns the target for the attempt, or nothing when no target is eligible
  /// now. Any confirmed target comes before all unconfirmed ones, and among
  /// either a target that is not excluded before one that is. When the attempt
  /// is sent, `recordSent` must be called.
  std::optional<framework::TargetId> choose(const SelectionRequest &Request,
                                            framework::Instant Now) {
    Registry_.advance(Now);
    const auto Confirmed = chooseFrom(EligibleGroup::Confirmed, Request, Now);
    if (Confirmed || Request.IsOptional_)
      return Confirmed;
    return chooseFrom(EligibleGroup::Unconfirmed, Request, Now);
  }

  /// Returns true when the target is unconfirmed while a confirmed one of its
  /// service can take an attempt.
  bool isAvoided(framework::TargetId Target) const {
    return Registry_.isAvoided(Target);
  }

  void recordSent(framework::TargetId Target, framework::Instant Now) {
    Registry_.advance(Now);
    Registry_.recordSent(Target, Now);
  }

  /// Records the end of an attempt; `Elapsed` is the time since `recordSent`.
  void recordEnded(framework::TargetId Target, AttemptResult Result,
                   framework::Duration Elapsed, framework::Instant Now) {
    Registry_.advance(Now);
    Registry_.recordEnded(Target, Result, Elapsed, Now);
  }

  void recordReport(framework::TargetId Target, const LoadReport &Report,
                    framework::Instant Now) {
    Registry_.recordReport(Target, Report, Now);
  }

  /// Records the rate that the target accepts from all instances together,
  /// unlimited when it names none.
  void recordRequestLimit(framework::TargetId Target, RequestRate Limit,
                          framework::Instant StatedAt) {
    Registry_.recordRequestLimit(Target, Limit, StatedAt);
  }

  /// Sets this instance's rank among the senders to a target that limits its
  /// requests. Without a rank nothing is sent to such a target.
  void setSenderRank(framework::TargetId Target,
                     std::optional<SenderRank> Rank) {
    Registry_.setSenderRank(Target, Rank);
  }

  /// Returns the number of targets that limit their requests.
  std::size_t limitedTargetCount() const {
    return Registry_.limitedTargetCount();
  }

  /// Returns the rate that the target accepts from all instances together.
  RequestRate requestLimit(framework::TargetId Target) const {
    return Registry_.requestLimit(Target);
  }

  /// Records a probe without a response. After two in a row, or after an
  /// attempt for which no connection could be opened, the target is not
  /// selected until it reports again or a time has passed.
  void recordProbeFailure(framework::TargetId Target, framework::Instant Now) {
    Registry_.recordProbeFailure(Target, Now);
  }

  /// Records the start id of a response or a probe. Returns true when it shows
  /// that the target has restarted, which makes the target cold.
  bool recordStartId(framework::TargetId Target, framework::Incarnation Start,
                     framework::Instant Now) {
    return Registry_.recordStartId(Target, Start, Now);
  }

  /// Marks a target as cold on other evidence of a restart: all its connections
  /// were reset at once, or another instance reported the restart.
  void markCold(framework::TargetId Target, framework::Instant Now) {
    Registry_.markCold(Target, Now);
  }

  /// Marks a target as warm because another instance reported so. Only has an
  /// effect while the state of the target is unknown; it does not override
  /// evidence of a cold start.
  void markWarm(framework::TargetId Target, framework::Instant Now) {
    Registry_.markWarm(Target, Now);
  }

  /// Records the sum of the attempts that all other instances have in flight.
  void recordPeerInFlight(framework::TargetId Target, std::uint32_t Sum,
                          framework::Instant Now) {
    Registry_.recordPeerInFlight(Target, Sum, Now);
  }

  /// Returns this instance's attempts in flight at the target.
  std::uint32_t inFlight(framework::TargetId Target) const {
    return Registry_.inFlight(Target);
  }

  /// Returns the state of a listed target.
  const TargetState &state(framework::TargetId Target) const {
    return Registry_.state(Target);
  }

  /// Returns how many times slower than usual the target works according to
  /// its report; 1 without a recent report.
  double slowdown(framework::TargetId Target, framework::Instant Now) const {
    return Registry_.slowdown(Target, Now);
  }

  /// Returns the moving average of the response time of a service; zero before
  /// the first response.
  framework::Duration serviceLatency(framework::ServiceId Service) const {
    return Registry_.serviceLatency(Service);
  }

  /// Returns the load that the warm targets of the service report. While it is
  /// low, a target that rejects a request does so for a reason of its own.
  ServiceLoad serviceLoad(framework::ServiceId Service,
                          framework::Instant Now) const {
    return Registry_.serviceLoad(Service, Now);
  }

  /// Sets the number of the target's slots that are this instance's share.
  void setSlotShare(framework::TargetId Target, std::uint32_t Slots,
                    framework::Instant Now) {
    Registry_.setSlotShare(Target, Slots, Now);
  }

  bool isCold(framework::TargetId Target) const {
    return Registry_.isCold(Target);
  }

  /// Appends at most `Max` listed targets without a recent report, those with
  /// the oldest report first. The fleet decides whether this instance may probe
  /// them.
  void nextProbeCandidates(std::size_t Max, framework::Instant Now,
                           std::vector<framework::TargetId> &Output) const {
    Registry_.probeCandidates(Max, Now, Output);
  }

  /// Returns the changes since the last call, in the order of their occurrence.
  std::vector<TargetChange> takeChanges() { return Registry_.takeChanges(); }

  /// Ends the ejections, back-offs and cold starts that have expired.
  void advance(framework::Instant Now) { Registry_.advance(Now); }

  /// Returns the time at which `advance` is due, or `Instant::max()`.
  framework::Instant nextWakeUp() const { return Registry_.nextWakeUp(); }

private:
  std::optional<framework::TargetId> chooseFrom(EligibleGroup Group,
                                                const SelectionRequest &Request,
                                                framework::Instant Now) {
    const auto Untried = chooseAllowed(Group, Request, Now);
    if (Untried || !Request.MayRepeat_ || Request.Excluded_.empty())
      return Untried;
    SelectionRequest Repeat = Request;
    Repeat.Excluded_.clear();
    return chooseAllowed(Group, Repeat, Now);
  }

  std::optional<framework::TargetId>
  chooseAllowed(EligibleGroup Group, const SelectionRequest &Request,
                framework::Instant Now) {
    if (const auto Target = Registry_.targetToConfirm(Group, Request, Now))
      return Target;
    const Candidates From = Registry_.candidates(Group, Request, Now);
    const auto Position = Policy_.choose(From, Rng_);
    if (!Position)
      return std::nullopt;
    return From.target(*Position);
  }

  TargetRegistry Registry_;
  Policy Policy_;
  framework::Random Rng_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TARGETTABLE_H
