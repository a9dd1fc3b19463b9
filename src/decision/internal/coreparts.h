#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_COREPARTS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_COREPARTS_H

#include "admission/admissionqueue.h"
#include "calls/attemptidgenerator.h"
#include "calls/calltable.h"
#include "calls/connectionpool.h"
#include "calls/silencedetector.h"
#include "calls/timerqueue.h"
#include "decision/corecounters.h"
#include "decision/coresettings.h"
#include "decision/internal/callsettings.h"
#include "decision/internal/environment.h"
#include "decision/internal/servicelearning.h"
#include "decision/types/endedcall.h"
#include "fleet/fleet.h"
#include "framework/random.h"
#include "routing/defaultpolicy.h"
#include "routing/targettable.h"

#include <set>
#include <utility>
#include <vector>

namespace cranberryspool::decision {

/// The state of a core, shared by the classes that each handle one part of the
/// life of a call.
struct CoreParts {
  CoreParts(CoreSettings Settings, framework::Random Rng)
      : Settings_(std::move(Settings)),
        Calling_(Settings_.Seeds_
                     ? seededCallSettings(Settings_.Seeds_->Bounds_)
                     : CallSettings()),
        Rng_(Rng),
        Targets_(Environment_.internZone(Settings_.Zone_),
                 routing::DefaultPolicy(), framework::Random(Rng_.bits())),
        Learning_(Calling_),
        Fleet_(fleet::FleetSettings{.Self_ = Settings_.Self_,
                                    .Incarnation_ = Settings_.Incarnation_,
                                    .Zone_ = Settings_.Zone_,
                                    .Address_ = Settings_.PeerAddress_,
                                    .Seeds_ = Settings_.Seeds_},
               framework::Random(Rng_.bits())),
        Silence_(Calling_.SilenceIdempotent_, Calling_.SilenceNonIdempotent_),
        AttemptNumbers_(Settings_.Self_, Settings_.Incarnation_) {}
  CoreParts(const CoreParts &) = delete;
  CoreParts &operator=(const CoreParts &) = delete;
  ~CoreParts() = default;

  /// Keeps the ended call for those who count, unless nobody takes them.
  void noteEnded(const EndedCall &Ended) {
    if (Ended_.size() < MaxEndedKept)
      Ended_.push_back(Ended);
  }

  static constexpr std::size_t MaxEndedKept = 10'000;

  CoreSettings Settings_;
  CallSettings Calling_;
  framework::Random Rng_;
  CoreCounters Counters_;

  Environment Environment_;
  routing::TargetTable<routing::DefaultPolicy> Targets_;
  admission::AdmissionQueue Queue_;
  ServiceLearning Learning_;
  fleet::Fleet Fleet_;
  /// What the fleet asked for and is not yet carried out.
  fleet::OutputList FleetOutput_;

  calls::CallTable Calls_;
  calls::ConnectionPool Connections_;
  calls::SilenceDetector Silence_;
  calls::TimerQueue<framework::CallId> Deadlines_;
  calls::TimerQueue<framework::CallId> Hedges_;
  calls::TimerQueue<framework::AttemptId> Abandoned_;
  calls::AttemptIdGenerator AttemptNumbers_;
  std::vector<EndedCall> Ended_;
  std::set<framework::TargetId> Ejected_;
  std::set<framework::InstanceName> HeardPeers_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_COREPARTS_H
