#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_VIRTUALFLEET_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_VIRTUALFLEET_H

#include "admission/admissionqueue.h"
#include "routing/experiment/callresults.h"
#include "routing/experiment/deployment.h"
#include "routing/experiment/fleetsettings.h"
#include "routing/experiment/targettruth.h"
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

/// Several instances' target choice and admission against fakes of the targets,
/// in virtual time. Attempts that a target sheds go to another one at once.
template <routing::ChoicePolicy Policy> class VirtualFleet {
public:
  /// Makes the policy of one instance.
  using PolicyFactory = std::function<Policy(const TargetTruth &)>;

  VirtualFleet(const Deployment &Fleet, FleetSettings Settings,
               const Workload &Work, const PolicyFactory &MakePolicy)
      : Fleet_(Fleet), Settings_(Settings), Work_(Work) {
    makeTargets();
    makeInstances(MakePolicy);
    Results_.resize(Fleet.Services_.size() * 2);
  }

  /// Runs until all calls have ended.
  void run() {
    for (std::uint32_t Index = 0; Index < Work_.SpeedChanges_.size(); ++Index)
      post(Work_.SpeedChanges_[Index].At_, EventKind::SpeedChange, Index);
    if (Settings_.ShareInterval_ > framework::Duration::zero())
      post(startOfRun(), EventKind::Share, 0);
    if (!Work_.Arrivals_.empty())
      post(Work_.Arrivals_[0].At_, EventKind::Arrival, 0);
    while (!Events_.empty()) {
      const Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      handle(Next);
    }
  }

  const CallResults &results(std::uint32_t Service,
                             document::Urgency Urgency) const {
    return Results_[slot(Service, Urgency)];
  }

private:
  using Instant = framework::Instant;
  using TargetId = framework::TargetId;

  enum class EventKind {
    Arrival,
    SpeedChange,
    AtTarget,
    Completion,
    Answer,
    Wake,
    Share,
    PeerWord
  };

  struct Event {
    Instant At_{};
    std::uint64_t Order_ = 0;
    EventKind Kind_ = EventKind::Arrival;
    std::uint64_t Subject_ = 0;
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

  struct PeerWord {
    std::uint32_t Instance_ = 0;
    std::vector<std::uint32_t> Sums_;
  };

  static std::size_t slot(std::uint32_t Service, document::Urgency Urgency) {
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
                                     Settings_.MaxQueueOfTarget_,
                                     Settings_.ReportLag_);
      }
    }
    Truth_.OnTheWay_.resize(Descriptions_.size());
    Generations_.resize(Descriptions_.size());
  }

  void makeInstances(const PolicyFactory &MakePolicy) {
    framework::Random Seeds(Settings_.Seed_);
    for (std::uint32_t Index = 0; Index < Fleet_.Instances_; ++Index) {
      const framework::ZoneId Zone(Index % Fleet_.Zones_);
      Instances_.push_back(
          {Zone,
           {Zone, MakePolicy(Truth_), framework::Random(Seeds.bits())},
           {},
           Instant::max()});
      setUp(Instances_.back(), Index);
    }
  }

  /// Targets alternate over the availability zones, as instances do.
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

  void post(Instant At, EventKind Kind, std::uint64_t Subject,
            std::uint64_t Generation = 0) {
    Events_.push({At, Order_++, Kind, Subject, Generation});
  }

  void handle(const Event &Input) {
    switch (Input.Kind_) {
    case EventKind::Arrival:
      return arrive(static_cast<std::uint32_t>(Input.Subject_));
    case EventKind::SpeedChange:
      return changeSpeed(Work_.SpeedChanges_[Input.Subject_]);
    case EventKind::AtTarget:
      return reachTarget(Input.Subject_);
    case EventKind::Completion:
      return complete(TargetId(static_cast<std::uint32_t>(Input.Subject_)),
                      Input.Generation_);
    case EventKind::Answer:
      return takeAnswer(Input.Subject_);
    case EventKind::Wake:
      return wake(static_cast<std::uint32_t>(Input.Subject_));
    case EventKind::Share:
      return share();
    case EventKind::PeerWord:
      return takePeerWord();
    }
  }

  void arrive(std::uint32_t Call) {
    if (Call + 1 < Work_.Arrivals_.size())
      post(Work_.Arrivals_[Call + 1].At_, EventKind::Arrival, Call + 1);
    const auto &Arrival = Work_.Arrivals_[Call];
    const auto Deadline = Now_ + Fleet_.Services_[Arrival.Service_].Deadline_;
    const admission::QueuedCall Queued{framework::CallId(Call),
                                       framework::ServiceId(Arrival.Service_),
                                       Arrival.Urgency_, Now_, Deadline};
    if (!Instances_[Arrival.Instance_].Queue_.offer(Queued, Now_))
      return countNotRun(Call);
    pump(Arrival.Instance_);
  }

  /// Starts what may start at an instance and plans its next wake-up.
  void pump(std::uint32_t Index) {
    Instance &Self = Instances_[Index];
    for (const auto Call : Self.Queue_.takeExpired(Now_))
      countNotRun(static_cast<std::uint32_t>(Call.value()));
    for (const auto Service : Self.Queue_.startableServices())
      while (const auto Call = Self.Queue_.next(Service, Now_)) {
        const auto Number = static_cast<std::uint32_t>(Call->value());
        const auto Target = choose(Self, Number, {});
        if (!Target)
          break;
        Self.Queue_.recordStarted(*Call, Now_);
        send(Index, Number, *Target);
      }
    const Instant At =
        std::max(std::min(Self.Table_.nextWakeUp(), Self.Queue_.nextWakeUp()),
                 Now_ + framework::Duration(1));
    if (At == Instant::max() || (Self.WakeAt_ > Now_ && Self.WakeAt_ <= At))
      return;
    Self.WakeAt_ = At;
    post(At, EventKind::Wake, Index);
  }

  void wake(std::uint32_t Index) {
    if (Instances_[Index].WakeAt_ == Now_)
      Instances_[Index].WakeAt_ = Instant::max();
    Instances_[Index].Table_.advance(Now_);
    pump(Index);
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
    ++Truth_.OnTheWay_[Target.value()];
    post(Now_ + delay(Self, Target), EventKind::AtTarget, Attempts_.size() - 1);
  }

  framework::Duration delay(const Instance &Self, TargetId Target) const {
    return Self.Zone_ == Descriptions_[Target.value()].Zone_
               ? Fleet_.DelayInZone_
               : Fleet_.DelayBetweenZones_;
  }

  void reachTarget(std::uint64_t Number) {
    Attempt &Entry = Attempts_[Number];
    --Truth_.OnTheWay_[Entry.Target_.value()];
    const auto Work = Work_.Arrivals_[Entry.Call_].Work_;
    if (!Truth_.Targets_[Entry.Target_.value()].accept(Number, Work, Now_)) {
      Entry.IsShed_ = true;
      return answer(Number);
    }
    planCompletion(Entry.Target_);
  }

  void planCompletion(TargetId Target) {
    const auto Next = Truth_.Targets_[Target.value()].nextCompletion();
    ++Generations_[Target.value()];
    if (Next)
      post(std::max(Next->At_, Now_), EventKind::Completion, Target.value(),
           Generations_[Target.value()]);
  }

  void complete(TargetId Target, std::uint64_t Generation) {
    if (Generation != Generations_[Target.value()])
      return;
    SimulatedTarget &Fake = Truth_.Targets_[Target.value()];
    const auto Number = Fake.nextCompletion()->Job_;
    Fake.complete(Number, Now_);
    planCompletion(Target);
    answer(Number);
  }

  void answer(std::uint64_t Number) {
    Attempt &Entry = Attempts_[Number];
    Entry.Report_ = Truth_.Targets_[Entry.Target_.value()].report(Now_);
    const auto &Arrival = Work_.Arrivals_[Entry.Call_];
    post(Now_ + delay(Instances_[Arrival.Instance_], Entry.Target_),
         EventKind::Answer, Number);
  }

  void takeAnswer(std::uint64_t Number) {
    const Attempt Entry = Attempts_[Number];
    const auto &Arrival = Work_.Arrivals_[Entry.Call_];
    Instance &Self = Instances_[Arrival.Instance_];
    const auto Result = Entry.IsShed_ ? routing::AttemptResult::NotRun
                                      : routing::AttemptResult::Answered;
    const auto Elapsed = Now_ - Entry.SentAt_;
    Self.Table_.recordReport(Entry.Target_, Entry.Report_, Now_);
    Self.Table_.recordEnded(Entry.Target_, Result, Elapsed, Now_);
    const auto Other = Entry.IsShed_
                           ? choose(Self, Entry.Call_, {Entry.Target_})
                           : std::nullopt;
    if (Other)
      return send(Arrival.Instance_, Entry.Call_, *Other);
    Self.Queue_.recordEnded(framework::ServiceId(Arrival.Service_),
                            Arrival.Urgency_, Result, Elapsed, Now_);
    if (Entry.IsShed_)
      countNotRun(Entry.Call_);
    else
      countAnswer(Entry.Call_);
    pump(Arrival.Instance_);
  }

  void changeSpeed(const Workload::SpeedChange &Change) {
    Truth_.Targets_[Change.Target_].setSpeed(Change.Speed_, Now_);
    planCompletion(TargetId(Change.Target_));
  }

  /// Every instance tells its attempts in flight to a home instance, which
  /// tells the sums to all: two hops.
  void share() {
    std::vector<std::uint32_t> Sums(Descriptions_.size());
    for (std::size_t Target = 0; Target < Sums.size(); ++Target)
      for (const Instance &Each : Instances_)
        Sums[Target] +=
            Each.Table_.inFlight(TargetId(static_cast<std::uint32_t>(Target)));
    for (std::uint32_t Index = 0; Index < Instances_.size(); ++Index) {
      PeerWord Word{Index, Sums};
      for (std::size_t Target = 0; Target < Sums.size(); ++Target)
        Word.Sums_[Target] -= Instances_[Index].Table_.inFlight(
            TargetId(static_cast<std::uint32_t>(Target)));
      PeerWords_.push_back(std::move(Word));
      post(Now_ + 2 * Fleet_.DelayBetweenZones_, EventKind::PeerWord, 0);
    }
    if (Now_ < Work_.Arrivals_.back().At_)
      post(Now_ + Settings_.ShareInterval_, EventKind::Share, 0);
  }

  void takePeerWord() {
    const PeerWord Word = std::move(PeerWords_.front());
    PeerWords_.pop_front();
    for (std::uint32_t Target = 0; Target < Word.Sums_.size(); ++Target)
      Instances_[Word.Instance_].Table_.recordPeerInFlight(
          TargetId(Target), Word.Sums_[Target], Now_);
    pump(Word.Instance_);
  }

  bool isMeasured(std::uint32_t Call) const {
    return Work_.Arrivals_[Call].At_ >= startOfRun() + Settings_.Warmup_;
  }

  void countNotRun(std::uint32_t Call) {
    const auto &Arrival = Work_.Arrivals_[Call];
    if (isMeasured(Call))
      ++Results_[slot(Arrival.Service_, Arrival.Urgency_)].NotRun_;
  }

  void countAnswer(std::uint32_t Call) {
    const auto &Arrival = Work_.Arrivals_[Call];
    CallResults &Output = Results_[slot(Arrival.Service_, Arrival.Urgency_)];
    if (!isMeasured(Call))
      return;
    const auto Latency = Now_ - Arrival.At_;
    Output.Latencies_.push_back(Latency);
    Output.AnsweredAt_.push_back(Now_);
    if (Latency > Fleet_.Services_[Arrival.Service_].Deadline_)
      ++Output.Late_;
  }

  const Deployment &Fleet_;
  FleetSettings Settings_;
  const Workload &Work_;
  TargetTruth Truth_;
  std::vector<routing::TargetDescription> Descriptions_;
  std::vector<Instance> Instances_;
  std::vector<Attempt> Attempts_;
  std::vector<std::uint64_t> Generations_;
  std::deque<PeerWord> PeerWords_;
  std::vector<CallResults> Results_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::uint64_t Order_ = 0;
  Instant Now_{};
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_VIRTUALFLEET_H
