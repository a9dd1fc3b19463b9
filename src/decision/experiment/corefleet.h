#ifndef CRANBERRYSPOOL_DECISION_EXPERIMENT_COREFLEET_H
#define CRANBERRYSPOOL_DECISION_EXPERIMENT_COREFLEET_H

#include "decision/core.h"
#include "decision/experiment/coretotals.h"
#include "routing/experiment/callresults.h"
#include "routing/experiment/deployment.h"
#include "routing/experiment/simulatedtarget.h"
#include "routing/experiment/workload.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace cranberryspool::experiment {

/// The settings of a simulated fleet of cores.
struct CoreFleetSettings {
  std::uint64_t Seed_ = 1;
  /// The text of the environment document.
  std::string Document_;
  /// The time between the start of the cores and the first call. In this time
  /// the instance list and the document spread through the fleet and the
  /// targets are found to be warm.
  framework::Duration StartupTime_ = std::chrono::seconds(12);
  /// Calls that arrive within this time after the first call are not measured.
  framework::Duration Warmup_ = std::chrono::seconds(1);
  framework::Duration ReportLag_ = std::chrono::milliseconds(100);
  framework::Duration ConnectTime_ = std::chrono::milliseconds(1);
  framework::Duration ProbeWork_ = std::chrono::milliseconds(6);
  std::size_t MaxQueueOfTarget_ = 64;
};

/// Complete decision cores of all instances with a simulated platform,
/// simulated targets and a simulated network without loss, in virtual time.
class CoreFleet {
public:
  CoreFleet(const Deployment &Fleet, CoreFleetSettings Settings,
            const Workload &Work);

  /// Runs until all calls have ended.
  void run();

  const CallResults &results(std::uint32_t Service,
                             document::Urgency Urgency) const {
    return Results_[resultIndex(Service, Urgency)];
  }
  CoreTotals totals() const;

private:
  using Instant = framework::Instant;
  using Duration = framework::Duration;
  using Task = std::function<void()>;

  struct Instance {
    std::uint32_t Zone_ = 0;
    std::string Address_;
    decision::Core Core_;
    Instant WakeAt_ = Instant::max();
  };

  /// The work of a simulated target: an attempt or a probe of an instance.
  struct Job {
    std::uint32_t Instance_ = 0;
    std::uint32_t Target_ = 0;
    framework::AttemptId Attempt_;
    framework::ConnectionId Connection_;
    framework::ProbeId Probe_;
    bool IsProbe_ = false;
    bool IsCancelled_ = false;
  };

  struct ScheduledTask {
    Instant At_{};
    std::uint64_t Sequence_ = 0;

    friend bool operator>(const ScheduledTask &Left,
                          const ScheduledTask &Right) {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Sequence_ > Right.Sequence_;
    }
  };

  static std::size_t resultIndex(std::uint32_t Service,
                                 document::Urgency Urgency) {
    return Service * 2 + (Urgency == document::Urgency::Urgent ? 0 : 1);
  }

  void makeTargets();
  void makeInstances();
  void schedule(Instant At, Task Callback);
  void scheduleArrival(std::uint32_t Call);
  void scheduleSpeedChange(std::uint32_t Change);

  void deliver(std::uint32_t Index, const decision::Event &Input);
  void scheduleWakeUp(std::uint32_t Index);

  void perform(std::uint32_t Index, const decision::OpenConnection &Action);
  void perform(std::uint32_t Index, const decision::CloseConnection &Action);
  void perform(std::uint32_t Index, const decision::SendAttempt &Action);
  void perform(std::uint32_t Index, const decision::ProbeTarget &Action);
  void perform(std::uint32_t Index, const decision::AnswerCall &Action);
  void perform(std::uint32_t Index, const decision::RefuseCall &Action);
  void perform(std::uint32_t Index, const decision::ReadDocument &Action);
  void perform(std::uint32_t Index, const decision::ReadInstances &Action);
  void perform(std::uint32_t Index, const decision::SendPeerMessage &Action);
  void perform(std::uint32_t Index, const decision::FetchSections &Action);
  void perform(std::uint32_t Index, const decision::ServeSections &Action);
  /// Ignores actions that concern no simulated component.
  template <typename Other> void perform(std::uint32_t, const Other &) {}

  void send(const Job &Sent, Duration Work);
  void arriveAtTarget(std::uint64_t Number, Duration Work);
  void scheduleCompletion(std::uint32_t Target);
  void complete(std::uint32_t Target, std::uint64_t Generation);
  void answer(std::uint64_t Number, bool IsNotRun);
  void deliverCall(std::uint32_t Call);

  Duration delayToTarget(std::uint32_t Index, std::uint32_t Target) const;
  Duration delayBetweenInstances(std::uint32_t From, std::uint32_t To) const;
  std::uint32_t findTarget(const std::string &Address) const;

  const Deployment &Fleet_;
  CoreFleetSettings Settings_;
  const Workload &Work_;
  decision::InstancesPublished Published_;
  std::vector<SimulatedTarget> Targets_;
  std::vector<std::uint32_t> TargetZones_;
  std::vector<std::uint64_t> Generations_;
  std::map<std::string, std::uint32_t> TargetsByAddress_;
  std::map<std::string, std::uint32_t> InstancesByAddress_;
  std::vector<Instance> Instances_;
  std::deque<Job> Jobs_;
  /// The job on each connection, by instance and connection.
  std::map<std::pair<std::uint32_t, framework::ConnectionId>, std::uint64_t>
      JobsByConnection_;
  /// The target of each connection, by instance and connection.
  std::map<std::pair<std::uint32_t, framework::ConnectionId>, std::uint32_t>
      Connections_;
  /// The requesting instance of each section request, by request number.
  std::map<std::uint64_t, std::uint32_t> SectionRequesters_;
  std::vector<CallResults> Results_;
  std::priority_queue<ScheduledTask, std::vector<ScheduledTask>, std::greater<>>
      Schedule_;
  std::map<std::uint64_t, Task> Tasks_;
  std::uint64_t NextSequence_ = 0;
  std::uint64_t LastSectionRequestId_ = 0;
  Instant Now_{};
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_DECISION_EXPERIMENT_COREFLEET_H
