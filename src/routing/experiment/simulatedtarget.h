#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDTARGET_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDTARGET_H

#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cranberryspool::experiment {

/// A fake of a target in virtual time: slots, a bounded FIFO queue, a speed
/// that changes while requests run, and load reports that lag.
class SimulatedTarget {
public:
  /// Names a request at the target.
  using Job = std::uint64_t;

  struct Completion {
    Job Job_ = 0;
    framework::Instant At_{};
  };

  SimulatedTarget(std::uint32_t Slots, std::size_t MaxQueue,
                  framework::Duration ReportLag)
      : Slots_(Slots), MaxQueue_(MaxQueue), ReportLag_(ReportLag) {}

  /// Runs or queues a request; returns false when it is shed as not run.
  bool accept(Job Id, framework::Duration Work, framework::Instant Now);

  /// The request that ends next and when, at the speed of now.
  std::optional<Completion> nextCompletion() const;

  /// Ends a running request and starts the next of the queue.
  void complete(Job Id, framework::Instant Now);

  /// Takes a request out, queued or running. Returns false when it is not here.
  bool cancel(Job Id, framework::Instant Now);

  /// Sets the speed as a share of the full one.
  void setSpeed(double Speed, framework::Instant Now);

  std::uint32_t outstanding() const {
    return static_cast<std::uint32_t>(Running_.size() + Queue_.size());
  }
  std::uint32_t slots() const { return Slots_; }
  double speed() const { return Speed_; }

  /// The report as it reads now, from `ReportLag` ago.
  routing::LoadReport report(framework::Instant Now);

private:
  struct RunningJob {
    Job Job_ = 0;
    /// Microseconds of work at full speed that are left at `WorkedUntil_`.
    double Left_ = 0;
  };
  struct WaitingJob {
    Job Job_ = 0;
    framework::Duration Work_{};
  };
  struct PastLoad {
    framework::Instant At_{};
    routing::LoadReport Report_;
  };

  void work(framework::Instant Now);
  void fillSlots();
  void remember(framework::Instant Now);

  std::uint32_t Slots_;
  std::size_t MaxQueue_;
  framework::Duration ReportLag_;
  double Speed_ = 1;
  framework::Instant WorkedUntil_{};
  std::vector<RunningJob> Running_;
  std::deque<WaitingJob> Queue_;
  std::deque<PastLoad> Past_;
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDTARGET_H
