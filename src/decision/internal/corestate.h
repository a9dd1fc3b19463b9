#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CORESTATE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CORESTATE_H

#include "admission/admissionqueue.h"
#include "calls/attemptidgenerator.h"
#include "calls/calltable.h"
#include "calls/connectionpool.h"
#include "calls/requestquarantine.h"
#include "calls/silencedetector.h"
#include "calls/timerqueue.h"
#include "capacity/demandtable.h"
#include "decision/corecounters.h"
#include "decision/coresettings.h"
#include "decision/internal/callsettings.h"
#include "decision/internal/environment.h"
#include "decision/internal/servicestatistics.h"
#include "decision/types/endedcall.h"
#include "fleet/fleet.h"
#include "framework/random.h"
#include "quotas/quotacoordinator.h"
#include "routing/defaultpolicy.h"
#include "routing/targettable.h"
#include "workspaces/accesspolicy.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

/// Returns the bounds on the withdrawal of keys that the platform sets.
inline workspaces::RevocationBounds
revocationBounds(const CoreSettings &Settings) {
  if (!Settings.Seeds_)
    return {};
  const fleet::FleetBounds &Bounds = Settings.Seeds_->Bounds_;
  return {Bounds.IsRevocationStrict_, Bounds.RevocationTime_};
}

/// Returns the identity of this instance and the bound on quotas that the
/// platform sets.
inline quotas::QuotaSettings quotaSettings(const CoreSettings &Settings) {
  quotas::QuotaSettings Result;
  Result.Self_ = Settings.Self_;
  Result.Incarnation_ = Settings.Incarnation_;
  if (!Settings.Seeds_)
    return Result;
  const fleet::FleetBounds &Bounds = Settings.Seeds_->Bounds_;
  Result.Window_ = Bounds.QuotaWindow_;
  Result.Overage_ = Bounds.QuotaOverage_;
  Result.Tolerance_ = Bounds.QuotaTolerance_;
  // A lower bound of the fleet's size, for an instance that hears nobody.
  Result.ExpectedInstances_ =
      std::max<std::size_t>(Settings.Seeds_->Addresses_.size(), 1);
  return Result;
}

/// The state of a core, shared by the classes that each handle one stage of a
/// call.
struct CoreState {
  CoreState(CoreSettings Settings, framework::Random Rng)
      : Settings_(std::move(Settings)),
        CallSettings_(Settings_.Seeds_
                          ? seededCallSettings(Settings_.Seeds_->Bounds_)
                          : CallSettings()),
        Rng_(Rng),
        Access_(revocationBounds(Settings_), Settings_.KeyIndexSecret_),
        Targets_(Environment_.internZone(Settings_.Zone_),
                 routing::DefaultPolicy(), framework::Random(Rng_.bits())),
        Queue_(Settings_.Admission_), ServiceStats_(CallSettings_),
        Fleet_(fleet::FleetSettings{.Self_ = Settings_.Self_,
                                    .Incarnation_ = Settings_.Incarnation_,
                                    .Zone_ = Settings_.Zone_,
                                    .Address_ = Settings_.PeerAddress_,
                                    .Seeds_ = Settings_.Seeds_},
               framework::Random(Rng_.bits())),
        Quotas_(quotaSettings(Settings_),
                framework::Random(Settings_.Incarnation_.value())),
        SilenceDetector_(CallSettings_.SilenceIdempotent_,
                         CallSettings_.SilenceNonIdempotent_),
        AttemptNumbers_(Settings_.Self_, Settings_.Incarnation_) {}
  CoreState(const CoreState &) = delete;
  CoreState &operator=(const CoreState &) = delete;
  ~CoreState() = default;

  /// Keeps the ended call for statistics, unless the maximum number of calls is
  /// already waiting to be taken.
  void recordEnded(const EndedCall &Ended) {
    if (EndedCalls_.size() < MaxEndedCallsKept)
      EndedCalls_.push_back(Ended);
  }

  static constexpr std::size_t MaxEndedCallsKept = 10'000;

  CoreSettings Settings_;
  CallSettings CallSettings_;
  framework::Random Rng_;
  CoreCounters Counters_;

  Environment Environment_;
  /// The document in force; null before the first one.
  std::shared_ptr<const calls::DocumentOrigin> DocumentOrigin_;
  workspaces::AccessPolicy Access_;
  routing::TargetTable<routing::DefaultPolicy> Targets_;
  admission::AdmissionQueue Queue_;
  ServiceStatistics ServiceStats_;
  fleet::Fleet Fleet_;
  /// Outputs of the fleet module that have not been processed yet.
  fleet::OutputList FleetOutput_;

  quotas::QuotaCoordinator Quotas_;
  /// What the peer group, including this instance, was last told of the demand
  /// for services.
  capacity::DemandTable Demand_;

  /// When the stop was requested; unset before.
  std::optional<framework::Instant> StopRequestedAt_;
  /// When the last calls of a stopping instance must have ended; unset while it
  /// does not stop, or may take as long as it needs.
  std::optional<framework::Instant> StopEndsAt_;
  /// From then on, a stopping instance accepts only calls whose time limit ends
  /// before `StopEndsAt_`.
  framework::Instant LateStopFrom_ = framework::Instant::max();

  calls::CallTable Calls_;
  calls::ConnectionPool Connections_;
  calls::RequestQuarantine Quarantine_;
  calls::SilenceDetector SilenceDetector_;
  calls::TimerQueue<framework::CallId> DeadlineTimers_;
  calls::TimerQueue<framework::CallId> HedgeTimers_;
  calls::TimerQueue<framework::AttemptId> AbandonTimers_;
  calls::AttemptIdGenerator AttemptNumbers_;
  std::vector<EndedCall> EndedCalls_;
  std::set<framework::TargetId> EjectedTargets_;
  std::set<framework::InstanceName> ReachablePeers_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CORESTATE_H
