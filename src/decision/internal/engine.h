#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H

#include "decision/coresettings.h"
#include "decision/event.h"
#include "decision/internal/admissionflow.h"
#include "decision/internal/attemptflow.h"
#include "decision/internal/callender.h"
#include "decision/internal/connectionkeeper.h"
#include "decision/internal/coreparts.h"
#include "decision/internal/dispatcher.h"
#include "decision/internal/environmentkeeper.h"
#include "decision/internal/fleetlink.h"
#include "decision/internal/intake.h"
#include "decision/internal/keyedcalls.h"
#include "decision/internal/outcomes.h"
#include "decision/internal/step.h"
#include "decision/internal/stopsequence.h"
#include "framework/random.h"

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

private:
  void begin(const Step &At);
  void expire(const Step &At);
  void settle(const Step &At);
  void tend(const Step &At);
  void reportTargets(const Step &At);
  void updateReadiness(const Step &At);

  template <typename Other> void dispatch(const Step &, const Other &) {}
  void dispatch(const Step &At, const CallArrived &Input);
  void dispatch(const Step &At, const CallerGone &Input);
  void dispatch(const Step &At, const ConnectionOpened &Input);
  void dispatch(const Step &At, const ConnectionClosed &Input);
  void dispatch(const Step &At, const AnswerBegan &Input);
  void dispatch(const Step &At, const AttemptAnswered &Input);
  void dispatch(const Step &At, const AttemptFailed &Input);
  void dispatch(const Step &At, const KeptAnswerFetched &Input);
  void dispatch(const Step &At, const DocumentPublished &Input);
  void dispatch(const Step &At, const InstancesPublished &Input);
  void dispatch(const Step &At, const StopRequested &Input);

  CoreParts Parts_;
  ConnectionKeeper Connections_;
  AttemptFlow Attempts_;
  CallEnder Ender_;
  AdmissionFlow Waiting_;
  Outcomes Outcomes_;
  EnvironmentKeeper Environment_;
  FleetLink Fleet_;
  KeyedCalls Keyed_;
  Intake Intake_;
  Dispatcher Dispatcher_;
  StopSequence Stop_;

  std::optional<framework::Instant> LastHandled_;
  framework::Instant LastTended_{};
  bool IsReady_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ENGINE_H
