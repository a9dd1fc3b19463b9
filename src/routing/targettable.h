#ifndef CRANBERRYSPOOL_ROUTING_TARGETTABLE_H
#define CRANBERRYSPOOL_ROUTING_TARGETTABLE_H

#include "framework/random.h"
#include "routing/choicepolicy.h"
#include "routing/internal/targetregistry.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cranberryspool::routing {

/// Chooses targets for attempts. Holds what is known of each target, applies
/// the rules that no policy may break (leaving, draining, ejected and cold
/// targets, limits) and leaves the choice among the rest to `Policy`.
template <ChoicePolicy Policy> class TargetTable {
public:
  TargetTable(framework::ZoneId OwnZone, Policy Chooser, framework::Random Rng)
      : Registry_(OwnZone), Policy_(std::move(Chooser)), Rng_(Rng) {}

  /// Replaces the whole picture. The targets of the first one may have just
  /// started or not: until a report or a peer says that one is warm it gets no
  /// more than `TargetLimits::ColdInFlight_`, like targets that appear later.
  void setTargets(const std::vector<TargetDescription> &Targets,
                  framework::Instant Now) {
    Registry_.setTargets(Targets, Now);
  }

  /// Sets this instance's share of a listed target's bounds.
  void setLimits(framework::TargetId Target, const TargetLimits &Bounds) {
    Registry_.setLimits(Target, Bounds);
  }

  /// Returns the target for the attempt, or nothing when none may take one more
  /// now. The caller of this function tells the send by `recordSent`.
  std::optional<framework::TargetId> choose(const SelectionRequest &Request,
                                            framework::Instant Now) {
    Registry_.advance(Now);
    const Candidates From = Registry_.candidates(Request, Now);
    const auto Position = Policy_.choose(From, Rng_);
    if (!Position)
      return std::nullopt;
    return From.target(*Position);
  }

  void recordSent(framework::TargetId Target, framework::Instant Now) {
    Registry_.advance(Now);
    Registry_.recordSent(Target, Now);
  }

  /// Takes the end of an attempt; `Elapsed` is the time since `recordSent`.
  void recordEnded(framework::TargetId Target, AttemptResult Result,
                   framework::Duration Elapsed, framework::Instant Now) {
    Registry_.advance(Now);
    Registry_.recordEnded(Target, Result, Elapsed, Now);
  }

  void recordReport(framework::TargetId Target, const LoadReport &Report,
                    framework::Instant Now) {
    Registry_.recordReport(Target, Report, Now);
  }

  /// Takes that a probe got no answer. Two in a row, or an attempt for which no
  /// connection could be opened, keep a target from work until it reports.
  void recordProbeFailure(framework::TargetId Target, framework::Instant Now) {
    Registry_.recordProbeFailure(Target, Now);
  }

  /// Takes the start id of an answer or a probe. Returns true when the target
  /// has started anew since it was last seen and so counts as cold.
  bool recordStartId(framework::TargetId Target, framework::Incarnation Start,
                     framework::Instant Now) {
    return Registry_.recordStartId(Target, Start, Now);
  }

  /// Takes other evidence of a new start: all connections reset at once, or a
  /// peer's word.
  void markCold(framework::TargetId Target, framework::Instant Now) {
    Registry_.markCold(Target, Now);
  }

  /// Takes a peer's word that the target is warm. It counts only while nothing
  /// is known of the target, not against evidence of a cold start.
  void markWarm(framework::TargetId Target, framework::Instant Now) {
    Registry_.markWarm(Target, Now);
  }

  /// Takes the sum of the attempts that all other instances have in flight.
  void recordPeerInFlight(framework::TargetId Target, std::uint32_t Sum,
                          framework::Instant Now) {
    Registry_.recordPeerInFlight(Target, Sum, Now);
  }

  /// Returns this instance's attempts in flight at the target.
  std::uint32_t inFlight(framework::TargetId Target) const {
    return Registry_.inFlight(Target);
  }

  /// Returns what is known of a listed target.
  const TargetState &state(framework::TargetId Target) const {
    return Registry_.state(Target);
  }

  /// Returns how many times slower than usual the target has just reported to
  /// work; 1 when it has not.
  double slowdown(framework::TargetId Target, framework::Instant Now) const {
    return Registry_.slowdown(Target, Now);
  }

  bool isCold(framework::TargetId Target) const {
    return Registry_.isCold(Target);
  }

  /// Appends at most `Max` listed targets without a fresh report, the longest
  /// unseen first. Whether this instance may probe them is the fleet's matter.
  void nextProbeCandidates(std::size_t Max, framework::Instant Now,
                           std::vector<framework::TargetId> &Output) const {
    Registry_.probeCandidates(Max, Now, Output);
  }

  /// Returns the changes since the last call, in their order.
  std::vector<TargetChange> takeChanges() { return Registry_.takeChanges(); }

  /// Ends what has run out by now: ejections, pauses and cold starts.
  void advance(framework::Instant Now) { Registry_.advance(Now); }

  /// Returns the time at which `advance` is due, or `Instant::max()`.
  framework::Instant nextWakeUp() const { return Registry_.nextWakeUp(); }

private:
  TargetRegistry Registry_;
  Policy Policy_;
  framework::Random Rng_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_TARGETTABLE_H
