#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_PROBER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_PROBER_H

#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/targetobserver.h"
#include "decision/types/events/probeanswered.h"
#include "decision/types/events/probefailed.h"
#include "framework/ids.h"

#include <map>

namespace cranberryspool::decision {

/// Asks targets for their load that no answer has told it of lately, as far as
/// this instance's share of the measuring budget allows.
class Prober {
public:
  Prober(CoreParts &Parts, TargetNotes &Notes) : Parts_(Parts), Notes_(Notes) {}

  void probe(const Step &At);
  void handle(const Step &At, const ProbeAnswered &Input);
  void handle(const Step &At, const ProbeFailed &Input);

private:
  void send(const Step &At, framework::TargetId Target);
  /// Targets of a store tell their warmth only to probes, so that traffic does
  /// not replace these.
  void probeStored(const Step &At);

  CoreParts &Parts_;
  TargetNotes &Notes_;
  std::map<framework::ProbeId, framework::TargetId> Running_;
  std::uint64_t LastProbe_ = 0;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_PROBER_H
