#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H

#include "decision/coresettings.h"
#include "decision/corestatus.h"
#include "decision/event.h"
#include "decision/internal/accessguard.h"
#include "decision/internal/admissioncontroller.h"
#include "decision/internal/attemptmanager.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/callforwarder.h"
#include "decision/internal/callreceiver.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/crashguard.h"
#include "decision/internal/dispatcher.h"
#include "decision/internal/environmentupdater.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/fleetadapter.h"
#include "decision/internal/keyedcallhandler.h"
#include "decision/internal/prober.h"
#include "decision/internal/quotaguard.h"
#include "decision/internal/stopsequence.h"
#include "decision/internal/targetobserver.h"
#include "decision/internal/transporteventhandler.h"
#include "decision/internal/viewguard.h"
#include "framework/random.h"

#include "decision/types/viewstatus.h"

#include <optional>

namespace cranberryspool::decision {

/// The implementation of a core: dispatches each event to the class that
/// handles it and then performs all work that is due.
class Engine {
public:
  Engine(CoreSettings Settings, framework::Random Rng);

  void handle(const EventContext &Context, const Event &Input);
  framework::Instant nextWakeUp() const;
  const CoreState &state() const { return Core_; }
  CoreState &state() { return Core_; }
  CoreStatus status() const;
  ViewStatus view() const;

private:
  void start(const EventContext &Context);
  void expireOverdue(const EventContext &Context);
  void runDueWork(const EventContext &Context);
  void runMaintenance(const EventContext &Context);
  void updateReadiness(const EventContext &Context);
  bool hasUsableServices(const EventContext &Context) const;

  void dispatch(const EventContext &, const Tick &) {}
  void dispatch(const EventContext &Context, const StopRequested &Input);
  void dispatch(const EventContext &Context, const CallArrived &Input);
  void dispatch(const EventContext &Context, const CallerGone &Input);
  void dispatch(const EventContext &Context, const KeptAnswerFetched &Input);
  void dispatch(const EventContext &Context, const ProbeAnswered &Input);
  void dispatch(const EventContext &Context, const ProbeFailed &Input);
  /// Events of connections and attempts.
  template <typename Other>
  requires requires(TransportEventHandler &To, const EventContext &Context,
                    const Other &Input) {
    To.handle(Context, Input);
  }
  void dispatch(const EventContext &Context, const Other &Input) {
    Transport_.handle(Context, Input);
  }
  /// Events of the platform and of peers.
  template <typename Other>
  requires requires(FleetAdapter &To, const EventContext &Context,
                    const Other &Input) {
    To.handle(Context, Input);
  }
  void dispatch(const EventContext &Context, const Other &Input) {
    FleetAdapter_.handle(Context, Input);
  }

  CoreState Core_;
  ConnectionManager Connections_;
  AttemptManager Attempts_;
  CallFinisher Finisher_;
  AccessGuard Access_;
  QuotaGuard Quota_;
  AdmissionController Admission_;
  TargetObserver Observer_;
  CrashGuard Crashes_;
  CallForwarder Forwarder_;
  TransportEventHandler Transport_;
  Prober Prober_;
  EnvironmentUpdater EnvironmentUpdater_;
  KeyedCallHandler KeyHandler_;
  ViewGuard View_;
  CallReceiver CallReceiver_;
  StopSequence Stop_;
  FleetAdapter FleetAdapter_;
  Dispatcher Dispatcher_;

  std::optional<framework::Instant> LastEventAt_;
  framework::Instant StartedAt_{};
  framework::Instant LastMaintenanceAt_{};
  bool IsReady_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H
