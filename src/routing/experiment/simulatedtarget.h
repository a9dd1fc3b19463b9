#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDTARGET_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDTARGET_H

#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cranberryspool::experiment {

/// A simulated target in virtual time, with slots, a bounded FIFO queue, a
/// speed that can change while requests run, and delayed load reports.
class SimulatedTarget {
public:
  /// Identifies a request at the target.
  using Job = std::uint64_t;

  struct Completion {
    Job Job_ = 0;
    framework::Instant At_{};
  };

  SimulatedTarget(std::uint32_t Slots, std::size_t MaxQueue,
                  framework::Duration ReportLag)
      : Slots_(Slots), MaxQueue_(MaxQueue), ReportLag_(ReportLag) {}

  /// Runs or queues a request. Returns false when the queue is full and the
  /// request is shed.
  bool accept(Job Id, framework::Duration Work, framework::Instant Now);

  /// Returns the request that ends next and its end time at the current speed.
  std::optional<Completion> nextCompletion() const;

  /// Ends a running request and starts the next one in the queue.
  void complete(Job Id, framework::Instant Now);

  /// Removes a queued or running request. Returns false when there is none with
  /// this id.
  bool cancel(Job Id, framework::Instant Now);

  /// Sets the speed as a fraction of the full speed.
  void setSpeed(double Speed, framework::Instant Now);

  std::uint32_t outstanding() const {
    return static_cast<std::uint32_t>(Running_.size() + Queue_.size());
  }
  std::uint32_t slots() const { return Slots_; }
  double speed() const { return Speed_; }

  /// Returns the load report that arrives now, which is `ReportLag` old.
  routing::LoadReport report(framework::Instant Now);

private:
  struct RunningJob {
    Job Job_ = 0;
    /// The work remaining at `AdvancedUntil_`, in microseconds at full speed.
    double RemainingWork_ = 0;
  };
  struct WaitingJob {
    Job Job_ = 0;
    framework::Duration Work_{};
  };
  struct LoadSample {
    framework::Instant At_{};
    routing::LoadReport Report_;
  };

  void advance(framework::Instant Now);
  void fillSlots();
  void recordLoad(framework::Instant Now);

  std::uint32_t Slots_;
  std::size_t MaxQueue_;
  framework::Duration ReportLag_;
  double Speed_ = 1;
  framework::Instant AdvancedUntil_{};
  std::vector<RunningJob> Running_;
  std::deque<WaitingJob> Queue_;
  std::deque<LoadSample> LoadHistory_;
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDTARGET_H
