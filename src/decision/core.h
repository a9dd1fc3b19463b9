#ifndef CRANBERRYSPOOL_DECISION_CORE_H
#define CRANBERRYSPOOL_DECISION_CORE_H

#include "decision/action.h"
#include "decision/corecounters.h"
#include "decision/coresettings.h"
#include "decision/corestatus.h"
#include "decision/event.h"
#include "decision/types/endedcall.h"
#include "decision/types/viewstatus.h"
#include "framework/moment.h"
#include "framework/random.h"

#include <memory>
#include <vector>

namespace cranberryspool::document {
struct EnvironmentDocument;
} // namespace cranberryspool::document

namespace cranberryspool::decision {

class Engine;

/// The decision logic of one instance, without I/O. Identical settings, seed
/// and events produce identical actions. Not thread-safe: a core is used by one
/// thread at a time.
class Core {
public:
  Core(CoreSettings Settings, framework::Random Rng);
  Core(Core &&) noexcept;
  Core &operator=(Core &&) noexcept;
  ~Core();

  /// Handles one event and appends the resulting actions to `Output`. `Now`
  /// must not be earlier than that of the previous event. A `Tick` directly
  /// after the start makes the core read the published state.
  void handle(framework::Moment Now, const Event &Input, ActionList &Output);

  /// Returns the time by which the core must be given a `Tick`.
  framework::Instant nextWakeUp() const;

  const CoreCounters &counters() const;
  /// Returns the status of the instance as of the last event.
  CoreStatus status() const;
  /// Returns the revisions and the age of the view of the published state as of
  /// the last event.
  ViewStatus view() const;

  /// Returns the document in force, or null if there is none. The pointer is
  /// valid until the next event is handled.
  const document::EnvironmentDocument *document() const;

  /// Returns the calls that have ended since the previous call of this function
  /// and removes them from the core. Must be called regularly, because ended
  /// calls accumulate until then.
  std::vector<EndedCall> takeEndedCalls();

private:
  std::unique_ptr<Engine> Engine_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORE_H
