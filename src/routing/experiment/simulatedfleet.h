#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDFLEET_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDFLEET_H

#include "admission/admissionqueue.h"
#include "routing/experiment/callresults.h"
#include "routing/experiment/deployment.h"
#include "routing/experiment/simulationsettings.h"
#include "routing/experiment/targetgroundtruth.h"
#include "routing/experiment/workload.h"
#include "routing/ringdistance.h"
#include "routing/targettable.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace cranberryspool::experiment {

/// Simulates several instances, with their target selection and admission, and
/// their targets in virtual time. An attempt that a target sheds is sent to
/// another one at once.
template <routing::LoadBalancingPolicy Policy> class SimulatedFleet {
public:
  /// Creates the policy of one instance.
  using PolicyFactory = std::function<Policy(const TargetGroundTruth &)>;

  SimulatedFleet(const Deployment &Fleet, SimulationSettings Settings,
                 const Workload &Work, const PolicyFactory &MakePolicy)
      : Fleet_(Fleet), Settings_(Settings), Work_(Work) {
    makeTargets();
    makeInstances(MakePolicy);
    Results_.resize(Fleet.Services_.size() * 2);
  }

  /// Runs until all calls have ended.
  void run() {
    for (std::uint32_t Index = 0; Index < Work_.SpeedChanges_.size(); ++Index)
      schedule(Work_.SpeedChanges_[Index].At_, EventKind::SpeedChange, Index);
    if (Settings_.PeerUpdateInterval_ > framework::Duration::zero())
      schedule(startOfRun(), EventKind::PeerExchange, 0);
    if (!Work_.Arrivals_.empty())
      schedule(Work_.Arrivals_[0].At_, EventKind::Arrival, 0);
    while (!Events_.empty()) {
      const Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      handle(Next);
    }
  }

  const CallResults &results(std::uint32_t Service,
                             document::Urgency Urgency) const {
    return Results_[resultIndex(Service, Urgency)];
  }

private:
  using Instant = framework::Instant;
  using TargetId = framework::TargetId;

  enum class EventKind {
    Arrival,
    SpeedChange,
    TargetArrival,
    Completion,
    Answer,
    WakeUp,
    PeerExchange,
    PeerUpdate
  };

  struct Event {
    Instant At_{};
    std::uint64_t Order_ = 0;
    EventKind Kind_ = EventKind::Arrival;
    std::uint64_t Index_ = 0;
    std::uint64_t Generation_ = 0;

    friend bool operator>(const Event &Left, const Event &Right) {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Order_ > Right.Order_;
    }
  };

  struct Attempt {
    std::uint32_t Call_ = 0;
    TargetId Target_;
    Instant SentAt_{};
    bool IsShed_ = false;
    routing::LoadReport Report_;
  };

  struct Instance {
    framework::ZoneId Zone_;
    routing::TargetTable<Policy> Table_;
    admission::AdmissionQueue Queue_;
    Instant WakeAt_ = Instant::max();
  };

  struct PeerUpdate {
    std::uint32_t Instance_ = 0;
    std::vector<std::uint32_t> InFlightSums_;
  };

  static std::size_t resultIndex(std::uint32_t Service,
                                 document::Urgency Urgency) {
    return Service * 2 + (Urgency == document::Urgency::Urgent ? 0 : 1);
  }

  void makeTargets() {
    for (std::uint32_t Service = 0; Service < Fleet_.Services_.size();
         ++Service) {
      const ServiceModel &Model = Fleet_.Services_[Service];
      for (std::uint32_t Count = 0; Count < Model.Targets_; ++Count) {
        const auto Index = static_cast<std::uint32_t>(Descriptions_.size());
        Descriptions_.push_back({TargetId(Index), framework::ServiceId(Service),
                                 framework::ZoneId(Count % Fleet_.Zones_),
                                 Model.SlotsPerTarget_, false});
        Truth_.Targets_.emplace_back(Model.SlotsPerTarget_,
                                     Settings_.MaxTargetQueue_,
                                     Settings_.ReportLag_);
      }
    }
    Truth_.InTransit_.resize(Descriptions_.size());
    Generations_.resize(Descriptions_.size());
  }

  void makeInstances(const PolicyFactory &MakePolicy) {
    framework::Random Seeds(Settings_.Seed_);
    for (std::uint32_t Index = 0; Index < Fleet_.Instances_; ++Index) {
      const framework::ZoneId Zone(Index % Fleet_.Zones_);
      Instances_.push_back(
          {Zone,
           {Zone, MakePolicy(Truth_), framework::Random(Seeds.bits())},
           admission::AdmissionQueue(),
           Instant::max()});
      setUp(Instances_.back(), Index);
    }
  }

  /// Returns the ring distance between an instance and the target with this
  /// rank in its service. Targets and instances are assigned to the
  /// availability zones in turn.
  double distance(std::uint32_t Index, std::uint32_t Rank,
                  std::uint32_t Targets) const {
    const std::uint32_t Zones = Fleet_.Zones_;
    const std::uint32_t InZone = (Targets + Zones - 1 - Rank % Zones) / Zones;
    return routing::ringDistance(Index / Zones, Fleet_.Instances_ / Zones,
                                 Rank / Zones, InZone);
  }

  void setUp(Instance &Self, std::uint32_t Index) {
    Self.Table_.setTargets(Descriptions_, startOfRun());
    std::uint32_t First = 0;
    for (std::uint32_t Service = 0; Service < Fleet_.Services_.size();
         ++Service) {
      const ServiceModel &Model = Fleet_.Services_[Service];
      const std::uint32_t Slots = Model.Targets_ * Model.SlotsPerTarget_;
      constexpr admission::ServiceCapacity Unlimited{1U << 20U, 1};
      Self.Queue_.setCapacity(
          framework::ServiceId(Service),
          Settings_.HasLimits_
              ? admission::ServiceCapacity{Slots, Fleet_.Instances_}
              : Unlimited);
      for (std::uint32_t Rank = 0; Rank < Model.Targets_; ++Rank)
        setUpTarget(Self, TargetId(First + Rank),
                    distance(Index, Rank, Model.Targets_));
      First += Model.Targets_;
    }
  }

  void setUpTarget(Instance &Self, TargetId Target, double Distance) {
    constexpr std::uint32_t MaxConnections = 1000;
    constexpr framework::Duration Warmup = std::chrono::seconds(5);
    Self.Table_.setLimits(Target, {0, MaxConnections, Warmup, Distance});
    Self.Table_.recordReport(Target, {}, startOfRun());
  }

  void schedule(Instant At, EventKind Kind, std::uint64_t Index,
                std::uint64_t Generation = 0) {
    Events_.push({At, Order_++, Kind, Index, Generation});
  }

  void handle(const Event &Input) {
    switch (Input.Kind_) {
    case EventKind::Arrival:
      return handleArrival(static_cast<std::uint32_t>(Input.Index_));
    case EventKind::SpeedChange:
      return changeSpeed(Work_.SpeedChanges_[Input.Index_]);
    case EventKind::TargetArrival:
      return handleTargetArrival(Input.Index_);
    case EventKind::Completion:
      return handleCompletion(
          TargetId(static_cast<std::uint32_t>(Input.Index_)),
          Input.Generation_);
    case EventKind::Answer:
      return handleAnswer(Input.Index_);
    case EventKind::WakeUp:
      return handleWakeUp(static_cast<std::uint32_t>(Input.Index_));
    case EventKind::PeerExchange:
      return exchangeInFlight();
    case EventKind::PeerUpdate:
      return handlePeerUpdate();
    }
  }

  void handleArrival(std::uint32_t Call) {
    if (Call + 1 < Work_.Arrivals_.size())
      schedule(Work_.Arrivals_[Call + 1].At_, EventKind::Arrival, Call + 1);
    const auto &Arrival = Work_.Arrivals_[Call];
    const auto Deadline = Now_ + Fleet_.Services_[Arrival.Service_].Deadline_;
    const admission::QueuedCall Queued{framework::CallId(Call),
                                       framework::ServiceId(Arrival.Service_),
                                       Arrival.Urgency_, Now_, Deadline};
    if (!Instances_[Arrival.Instance_].Queue_.offer(Queued, Now_))
      return countNotRun(Call);
    startQueuedCalls(Arrival.Instance_);
  }

  /// Starts the queued calls of an instance that may start, and schedules the
  /// instance's next wake-up.
  void startQueuedCalls(std::uint32_t Index) {
    Instance &Self = Instances_[Index];
    for (const auto Call : Self.Queue_.takeExpired(Now_))
      countNotRun(static_cast<std::uint32_t>(Call.value()));
    for (const auto Service : Self.Queue_.startableServices())
      while (const auto Call = Self.Queue_.next(Service, Now_)) {
        const auto CallIndex = static_cast<std::uint32_t>(Call->value());
        const auto Target = choose(Self, CallIndex, {});
        if (!Target)
          break;
        Self.Queue_.recordStarted(*Call, Now_);
        send(Index, CallIndex, *Target);
      }
    const Instant At =
        std::max(std::min(Self.Table_.nextWakeUp(), Self.Queue_.nextWakeUp()),
                 Now_ + framework::Duration(1));
    if (At == Instant::max() || (Self.WakeAt_ > Now_ && Self.WakeAt_ <= At))
      return;
    Self.WakeAt_ = At;
    schedule(At, EventKind::WakeUp, Index);
  }

  void handleWakeUp(std::uint32_t Index) {
    if (Instances_[Index].WakeAt_ == Now_)
      Instances_[Index].WakeAt_ = Instant::max();
    Instances_[Index].Table_.advance(Now_);
    startQueuedCalls(Index);
  }

  std::optional<TargetId> choose(Instance &Self, std::uint32_t Call,
                                 std::vector<TargetId> Excluded) {
    const auto &Arrival = Work_.Arrivals_[Call];
    return Self.Table_.choose({framework::ServiceId(Arrival.Service_),
                               Arrival.Urgency_, std::move(Excluded)},
                              Now_);
  }

  void send(std::uint32_t Index, std::uint32_t Call, TargetId Target) {
    Instance &Self = Instances_[Index];
    Self.Table_.recordSent(Target, Now_);
    Attempts_.push_back({Call, Target, Now_, false, {}});
    ++Truth_.InTransit_[Target.value()];
    schedule(Now_ + delay(Self, Target), EventKind::TargetArrival,
             Attempts_.size() - 1);
  }

  framework::Duration delay(const Instance &Self, TargetId Target) const {
    return Self.Zone_ == Descriptions_[Target.value()].Zone_
               ? Fleet_.DelayInZone_
               : Fleet_.DelayBetweenZones_;
  }

  void handleTargetArrival(std::uint64_t AttemptIndex) {
    Attempt &CurrentAttempt = Attempts_[AttemptIndex];
    --Truth_.InTransit_[CurrentAttempt.Target_.value()];
    const auto Work = Work_.Arrivals_[CurrentAttempt.Call_].Work_;
    if (!Truth_.Targets_[CurrentAttempt.Target_.value()].accept(AttemptIndex,
                                                                Work, Now_)) {
      CurrentAttempt.IsShed_ = true;
      return sendAnswer(AttemptIndex);
    }
    scheduleCompletion(CurrentAttempt.Target_);
  }

  void scheduleCompletion(TargetId Target) {
    const auto Next = Truth_.Targets_[Target.value()].nextCompletion();
    ++Generations_[Target.value()];
    if (Next)
      schedule(std::max(Next->At_, Now_), EventKind::Completion, Target.value(),
               Generations_[Target.value()]);
  }

  void handleCompletion(TargetId Target, std::uint64_t Generation) {
    if (Generation != Generations_[Target.value()])
      return;
    SimulatedTarget &Server = Truth_.Targets_[Target.value()];
    const auto AttemptIndex = Server.nextCompletion()->Job_;
    Server.complete(AttemptIndex, Now_);
    scheduleCompletion(Target);
    sendAnswer(AttemptIndex);
  }

  void sendAnswer(std::uint64_t AttemptIndex) {
    Attempt &CurrentAttempt = Attempts_[AttemptIndex];
    CurrentAttempt.Report_ =
        Truth_.Targets_[CurrentAttempt.Target_.value()].report(Now_);
    const auto &Arrival = Work_.Arrivals_[CurrentAttempt.Call_];
    schedule(Now_ +
                 delay(Instances_[Arrival.Instance_], CurrentAttempt.Target_),
             EventKind::Answer, AttemptIndex);
  }

  void handleAnswer(std::uint64_t AttemptIndex) {
    const Attempt CurrentAttempt = Attempts_[AttemptIndex];
    const auto &Arrival = Work_.Arrivals_[CurrentAttempt.Call_];
    Instance &Self = Instances_[Arrival.Instance_];
    const auto Result = CurrentAttempt.IsShed_
                            ? routing::AttemptResult::NotRun
                            : routing::AttemptResult::Answered;
    const auto Elapsed = Now_ - CurrentAttempt.SentAt_;
    Self.Table_.recordReport(CurrentAttempt.Target_, CurrentAttempt.Report_,
                             Now_);
    Self.Table_.recordEnded(CurrentAttempt.Target_, Result, Elapsed, Now_);
    const auto Other =
        CurrentAttempt.IsShed_
            ? choose(Self, CurrentAttempt.Call_, {CurrentAttempt.Target_})
            : std::nullopt;
    if (Other)
      return send(Arrival.Instance_, CurrentAttempt.Call_, *Other);
    Self.Queue_.recordEnded(framework::ServiceId(Arrival.Service_),
                            Arrival.Urgency_, Result, Elapsed,
                            routing::ServiceLoad::Unknown, Now_);
    if (CurrentAttempt.IsShed_)
      countNotRun(CurrentAttempt.Call_);
    else
      countAnswer(CurrentAttempt.Call_);
    startQueuedCalls(Arrival.Instance_);
  }

  void changeSpeed(const Workload::SpeedChange &Change) {
    Truth_.Targets_[Change.Target_].setSpeed(Change.Speed_, Now_);
    scheduleCompletion(TargetId(Change.Target_));
  }

  /// Simulates the exchange of the attempts in flight: all instances report
  /// them to one instance, which sends the sums to all others. An update thus
  /// takes two hops.
  void exchangeInFlight() {
    std::vector<std::uint32_t> InFlightSums(Descriptions_.size());
    for (std::size_t Target = 0; Target < InFlightSums.size(); ++Target)
      for (const Instance &Other : Instances_)
        InFlightSums[Target] +=
            Other.Table_.inFlight(TargetId(static_cast<std::uint32_t>(Target)));
    for (std::uint32_t Index = 0; Index < Instances_.size(); ++Index) {
      PeerUpdate Update{Index, InFlightSums};
      for (std::size_t Target = 0; Target < InFlightSums.size(); ++Target)
        Update.InFlightSums_[Target] -= Instances_[Index].Table_.inFlight(
            TargetId(static_cast<std::uint32_t>(Target)));
      PeerUpdates_.push_back(std::move(Update));
      schedule(Now_ + 2 * Fleet_.DelayBetweenZones_, EventKind::PeerUpdate, 0);
    }
    if (Now_ < Work_.Arrivals_.back().At_)
      schedule(Now_ + Settings_.PeerUpdateInterval_, EventKind::PeerExchange,
               0);
  }

  void handlePeerUpdate() {
    const PeerUpdate Update = std::move(PeerUpdates_.front());
    PeerUpdates_.pop_front();
    for (std::uint32_t Target = 0; Target < Update.InFlightSums_.size();
         ++Target)
      Instances_[Update.Instance_].Table_.recordPeerInFlight(
          TargetId(Target), Update.InFlightSums_[Target], Now_);
    startQueuedCalls(Update.Instance_);
  }

  bool isMeasured(std::uint32_t Call) const {
    return Work_.Arrivals_[Call].At_ >= startOfRun() + Settings_.Warmup_;
  }

  void countNotRun(std::uint32_t Call) {
    const auto &Arrival = Work_.Arrivals_[Call];
    if (isMeasured(Call))
      ++Results_[resultIndex(Arrival.Service_, Arrival.Urgency_)].NotRun_;
  }

  void countAnswer(std::uint32_t Call) {
    const auto &Arrival = Work_.Arrivals_[Call];
    CallResults &Output =
        Results_[resultIndex(Arrival.Service_, Arrival.Urgency_)];
    if (!isMeasured(Call))
      return;
    const auto Latency = Now_ - Arrival.At_;
    Output.Latencies_.push_back(Latency);
    Output.AnsweredAt_.push_back(Now_);
    if (Latency > Fleet_.Services_[Arrival.Service_].Deadline_)
      ++Output.Late_;
  }

  const Deployment &Fleet_;
  SimulationSettings Settings_;
  const Workload &Work_;
  TargetGroundTruth Truth_;
  std::vector<routing::TargetDescription> Descriptions_;
  std::vector<Instance> Instances_;
  std::vector<Attempt> Attempts_;
  std::vector<std::uint64_t> Generations_;
  std::deque<PeerUpdate> PeerUpdates_;
  std::vector<CallResults> Results_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::uint64_t Order_ = 0;
  Instant Now_{};
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_SIMULATEDFLEET_H
