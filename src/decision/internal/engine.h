#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H

#include "decision/coresettings.h"
#include "decision/corestatus.h"
#include "decision/event.h"
#include "decision/internal/admissioncontroller.h"
#include "decision/internal/attemptmanager.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/callreceiver.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/dispatcher.h"
#include "decision/internal/environmentupdater.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/fleetadapter.h"
#include "decision/internal/keyedcallhandler.h"
#include "decision/internal/prober.h"
#include "decision/internal/stopsequence.h"
#include "decision/internal/targetobserver.h"
#include "decision/internal/transporteventhandler.h"
#include "decision/internal/viewguard.h"
#include "framework/random.h"

#include "decision/types/viewstatus.h"

#include <optional>

namespace cranberryspool::decision {

/// The working of a core: hands each event to the class that handles it and
/// then does what has become due.
class Engine {
public:
  Engine(CoreSettings Settings, framework::Random Rng);

  void handle(const Step &At, const Event &Input);
  framework::Instant nextWakeUp() const;
  const CoreParts &parts() const { return Parts_; }
  CoreParts &parts() { return Parts_; }
  CoreStatus status() const;
  ViewStatus view() const;

private:
  void begin(const Step &At);
  void expire(const Step &At);
  void settle(const Step &At);
  void tend(const Step &At);
  void updateReadiness(const Step &At);
  bool maySendSomewhere(const Step &At) const;

  void dispatch(const Step &, const Tick &) {}
  void dispatch(const Step &At, const StopRequested &Input);
  void dispatch(const Step &At, const CallArrived &Input);
  void dispatch(const Step &At, const CallerGone &Input);
  void dispatch(const Step &At, const KeptAnswerFetched &Input);
  void dispatch(const Step &At, const ProbeAnswered &Input);
  void dispatch(const Step &At, const ProbeFailed &Input);
  /// What the transport tells of connections and attempts.
  template <typename Other>
  requires requires(Outcomes &To, const Step &At, const Other &Input) {
    To.handle(At, Input);
  }
  void dispatch(const Step &At, const Other &Input) {
    Outcomes_.handle(At, Input);
  }
  /// What the platform and peers tell.
  template <typename Other>
  requires requires(FleetLink &To, const Step &At, const Other &Input) {
    To.handle(At, Input);
  }
  void dispatch(const Step &At, const Other &Input) {
    Fleet_.handle(At, Input);
  }

  CoreParts Parts_;
  ConnectionKeeper Connections_;
  AttemptFlow Attempts_;
  CallEnder Ender_;
  AdmissionFlow Waiting_;
  TargetNotes Notes_;
  Outcomes Outcomes_;
  Prober Prober_;
  EnvironmentKeeper Environment_;
  KeyedCalls Keyed_;
  ViewGuard View_;
  Intake Intake_;
  StopSequence Stop_;
  FleetLink Fleet_;
  Dispatcher Dispatcher_;

  std::optional<framework::Instant> LastHandled_;
  framework::Instant BegunAt_{};
  framework::Instant LastTended_{};
  bool IsReady_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H
