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

/// All decisions of one instance, without I/O. The same settings, seed and
/// events give the same actions. Not thread-safe: one duty owns a core.
class Core {
public:
  Core(CoreSettings Settings, framework::Random Rng);
  Core(Core &&) noexcept;
  Core &operator=(Core &&) noexcept;
  ~Core();

  /// Handles one event and appends the actions that follow from it. `Now` must
  /// not be earlier than that of the event before. A `Tick` right after the
  /// start makes the core read the platform.
  void handle(framework::Moment Now, const Event &Input, ActionList &Output);

  /// Returns the time at which the core wants a `Tick` at the latest.
  framework::Instant nextWakeUp() const;

  const CoreCounters &counters() const;
  /// What the instance believes and does as of the last event.
  CoreStatus status() const;
  /// The version and age of what it knows of the platform, as of that event.
  ViewStatus view() const;

  /// The document in force, or null when there is none. Valid until the next
  /// event is handled.
  const document::EnvironmentDocument *document() const;

  /// Takes the calls that have ended since the last time. When nobody takes
  /// them, only a bounded number is kept.
  std::vector<EndedCall> takeEndedCalls();

private:
  std::unique_ptr<Engine> Engine_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORE_H
