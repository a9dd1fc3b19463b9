#ifndef CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETREGISTRY_H
#define CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETREGISTRY_H

#include "routing/candidates.h"
#include "routing/internal/coldallowance.h"
#include "routing/internal/targethealth.h"
#include "routing/types/targetchange.h"
#include "routing/types/targetstate.h"

#include <optional>
#include <queue>
#include <span>
#include <vector>

namespace cranberryspool::routing {

/// The state of all targets and, per service, the targets that may take one
/// more attempt now. Every operation but `setTargets` and `probeCandidates`
/// costs at most O(log n).
class TargetRegistry {
public:
  explicit TargetRegistry(framework::ZoneId OwnZone) : OwnZone_(OwnZone) {}

  /// Replaces the whole picture. Targets that are not in it get no more work.
  void setTargets(std::span<const TargetDescription> Targets,
                  framework::Instant Now);
  void setLimits(framework::TargetId Target, const TargetLimits &Bounds);

  void recordSent(framework::TargetId Target, framework::Instant Now);
  void recordEnded(framework::TargetId Target, AttemptResult Result,
                   framework::Duration Elapsed, framework::Instant Now);
  void recordReport(framework::TargetId Target, const LoadReport &Report,
                    framework::Instant Now);
  /// A probe got no answer.
  void recordProbeFailure(framework::TargetId Target, framework::Instant Now);
  /// Returns true when the target has started anew since it was last seen.
  bool recordStartId(framework::TargetId Target, framework::Incarnation Start,
                     framework::Instant Now);
  void markCold(framework::TargetId Target, framework::Instant Now);
  void markWarm(framework::TargetId Target, framework::Instant Now);
  void recordPeerInFlight(framework::TargetId Target, std::uint32_t Sum,
                          framework::Instant Now);

  /// Ends the ejections, pauses and cold starts whose time has come.
  void advance(framework::Instant Now);
  framework::Instant nextWakeUp() const;

  std::uint32_t inFlight(framework::TargetId Target) const;
  bool isKnown(framework::TargetId Target) const;
  bool isCold(framework::TargetId Target) const;
  double slowdown(framework::TargetId Target, framework::Instant Now) const;
  const TargetState &state(framework::TargetId Target) const;

  /// The view of one service for a policy; the arguments must outlive it.
  Candidates candidates(const SelectionRequest &Request,
                        framework::Instant Now) const;

  /// Appends at most `Max` targets that nobody has reported about for a while
  /// and that get no traffic by which they could, the longest unseen first.
  void probeCandidates(std::size_t Max, framework::Instant Now,
                       std::vector<framework::TargetId> &Output) const;

  std::vector<TargetChange> takeChanges();

private:
  static constexpr std::uint32_t NotOpen = ~0U;

  enum class Temperature { Unknown, Cold, Warm };

  struct Record {
    TargetHealth Health_;
    Temperature Temperature_ = Temperature::Unknown;
    framework::Instant ColdSince_{};
    std::optional<framework::Incarnation> Start_;
    bool IsListed_ = false;
    bool IsDraining_ = false;
    std::uint32_t OpenPosition_ = NotOpen;
    std::uint32_t SlowStreak_ = 0;
    /// Nobody answers at the target's address; it gets nothing until it reports
    /// again, or until then.
    framework::Instant UnreachableUntil_{};
    std::uint32_t FailedProbes_ = 0;
    /// The end of a cold start that the target has told.
    framework::Instant ColdUntil_{};
    ColdAllowance Allowance_;
    /// Attempts at a cold target that ended unanswered and may still run there,
    /// all forgotten at `CutUntil_`.
    std::uint32_t Cut_ = 0;
    framework::Instant CutUntil_{};
  };

  struct ServiceGroup {
    std::vector<framework::TargetId> Open_;
    std::uint32_t Listed_ = 0;
    std::uint32_t Ejected_ = 0;
    double LatencyMicros_ = 0;
    /// Moving average of what targets tell of their slowness, 1 is as usual.
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

  void list(const TargetDescription &Description, bool IsFirstPicture,
            framework::Instant Now);
  /// Stops relying on a target that is leaving or whose zone is out.
  void release(framework::TargetId Target);
  /// Takes such a target back.
  void readmit(framework::TargetId Target, framework::Instant Now);
  void unlist(framework::TargetId Target, framework::Instant Now);
  void recordPossiblyRunning(framework::TargetId Target,
                             framework::Instant Now);
  void turnCold(framework::TargetId Target, framework::Instant Now);
  void turnWarm(framework::TargetId Target);
  void markUnreachable(framework::TargetId Target, framework::Instant Now);
  /// Takes the target's word on how long it stays cold.
  void setWarmupLeft(framework::TargetId Target, framework::Duration Left,
                     framework::Instant Now);
  /// True when the target tells of its cold starts, so that none is inferred.
  bool tellsWarmup(framework::TargetId Target) const;
  void judgeHealth(framework::TargetId Target, framework::Instant Now);
  void recordLatency(framework::TargetId Target, framework::Duration Elapsed,
                     framework::Instant Now);
  void refresh(framework::TargetId Target, framework::Instant Now);
  bool mayTakeOne(framework::TargetId Target, framework::Instant Now) const;
  static bool isFull(const TargetState &State, framework::Instant Now);
  void expire(framework::TargetId Target, framework::Instant Now);
  void wakeAt(framework::Instant At, framework::TargetId Target);
  ServiceGroup &group(framework::TargetId Target);
  bool isCold(const Record &Entry) const {
    return Entry.Temperature_ != Temperature::Warm;
  }

  framework::ZoneId OwnZone_;
  bool HasPicture_ = false;
  framework::Instant LastSeen_{};
  /// Both by the value of the target's id.
  std::vector<TargetState> States_;
  std::vector<Record> Records_;
  /// By the value of the service's id.
  std::vector<ServiceGroup> Groups_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> Timers_;
  std::vector<TargetChange> Changes_;
};

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_INTERNAL_TARGETREGISTRY_H
