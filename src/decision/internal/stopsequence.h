#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_STOPSEQUENCE_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_STOPSEQUENCE_H

#include "decision/internal/callreceiver.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"

#include <optional>

namespace cranberryspool::decision {

/// Stops the instance without cutting a call: first it is not ready any more,
/// then it accepts no more calls, and when all have ended the process may exit.
class StopSequence {
public:
  StopSequence(CoreParts &Parts, Intake &Calls)
      : Parts_(Parts), Calls_(Calls) {}

  void request(const Step &At);
  bool isRequested() const { return RequestedAt_.has_value(); }
  bool isFinished() const { return IsFinished_; }
  /// Takes the next steps that are due.
  void advance(const Step &At);

private:
  CoreParts &Parts_;
  Intake &Calls_;
  std::optional<framework::Instant> RequestedAt_;
  bool IsFinished_ = false;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_STOPSEQUENCE_H
