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

/// How the cores of a run are driven.
struct CoreFleetSettings {
  std::uint64_t Seed_ = 1;
  /// The text of the environment document.
  std::string Document_;
  /// From the start of the cores until the first call: the list and the
  /// document spread and the targets are found to be warm.
  framework::Duration StartUp_ = std::chrono::seconds(12);
  /// Calls that arrive in this time after the first are not measured.
  framework::Duration Warmup_ = std::chrono::seconds(1);
  framework::Duration ReportLag_ = std::chrono::milliseconds(100);
  framework::Duration ConnectTime_ = std::chrono::milliseconds(1);
  framework::Duration ProbeWork_ = std::chrono::milliseconds(6);
  std::size_t MaxQueueOfTarget_ = 64;
};

/// Whole decision cores of all instances against fakes of the platform, the
/// targets and the network between, in virtual time. The network loses nothing.
class CoreFleet {
public:
  CoreFleet(const Deployment &Fleet, CoreFleetSettings Settings,
            const Workload &Work);

  /// Runs until all calls have ended.
  void run();

  const CallResults &results(std::uint32_t Service,
                             document::Urgency Urgency) const {
    return Results_[slot(Service, Urgency)];
  }
  CoreTotals totals() const;

private:
  using Instant = framework::Instant;
  using Duration = framework::Duration;
  using Step = std::function<void()>;

  struct Instance {
    std::uint32_t Zone_ = 0;
    std::string Address_;
    decision::Core Core_;
    Instant WakeAt_ = Instant::max();
  };

  /// What a fake target works on: an attempt or a probe of an instance.
  struct Job {
    std::uint32_t Instance_ = 0;
    std::uint32_t Target_ = 0;
    framework::AttemptId Attempt_;
    framework::ConnectionId Connection_;
    framework::ProbeId Probe_;
    bool IsProbe_ = false;
    bool IsCancelled_ = false;
  };

  struct Planned {
    Instant At_{};
    std::uint64_t Order_ = 0;

    friend bool operator>(const Planned &Left, const Planned &Right) {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Order_ > Right.Order_;
    }
  };

  static std::size_t slot(std::uint32_t Service, document::Urgency Urgency) {
    return Service * 2 + (Urgency == document::Urgency::Urgent ? 0 : 1);
  }

  void makeTargets();
  void makeInstances();
  void plan(Instant At, Step Task);
  void planArrival(std::uint32_t Call);
  void planSpeedChange(std::uint32_t Change);

  void tell(std::uint32_t Index, const decision::Event &Input);
  void planWakeUp(std::uint32_t Index);

  void carryOut(std::uint32_t Index, const decision::OpenConnection &Asked);
  void carryOut(std::uint32_t Index, const decision::CloseConnection &Asked);
  void carryOut(std::uint32_t Index, const decision::SendAttempt &Asked);
  void carryOut(std::uint32_t Index, const decision::ProbeTarget &Asked);
  void carryOut(std::uint32_t Index, const decision::AnswerCall &Asked);
  void carryOut(std::uint32_t Index, const decision::RefuseCall &Asked);
  void carryOut(std::uint32_t Index, const decision::ReadDocument &Asked);
  void carryOut(std::uint32_t Index, const decision::ReadInstances &Asked);
  void carryOut(std::uint32_t Index, const decision::SendPeerMessage &Asked);
  void carryOut(std::uint32_t Index, const decision::FetchSections &Asked);
  void carryOut(std::uint32_t Index, const decision::ServeSections &Asked);
  /// Actions that ask nothing of these fakes.
  template <typename Other> void carryOut(std::uint32_t, const Other &) {}

  void send(const Job &Sent, Duration Work);
  void reachTarget(std::uint64_t Number, Duration Work);
  void planCompletion(std::uint32_t Target);
  void complete(std::uint32_t Target, std::uint64_t Generation);
  void answer(std::uint64_t Number, bool IsNotRun);
  void arrive(std::uint32_t Call);

  Duration delay(std::uint32_t Index, std::uint32_t Target) const;
  Duration peerDelay(std::uint32_t From, std::uint32_t To) const;
  std::uint32_t targetAt(const std::string &Address) const;

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
      OnConnection_;
  /// The target of each connection, by instance and connection.
  std::map<std::pair<std::uint32_t, framework::ConnectionId>, std::uint32_t>
      Connections_;
  /// Who asked for sections, by the number of the request.
  std::map<std::uint64_t, std::uint32_t> SectionAskers_;
  std::vector<CallResults> Results_;
  std::priority_queue<Planned, std::vector<Planned>, std::greater<>> Plan_;
  std::map<std::uint64_t, Step> Steps_;
  std::uint64_t Order_ = 0;
  std::uint64_t LastSectionRequest_ = 0;
  Instant Now_{};
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_DECISION_EXPERIMENT_COREFLEET_H
