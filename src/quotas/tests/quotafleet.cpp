#include "quotas/tests/quotafleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryspool::quotas {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// As in the seeded fleet: a silent member counts as running for this long and
/// is known for somewhat longer.
constexpr Duration LostAfter = seconds(35);
constexpr Duration ForgottenAfter = seconds(40);

framework::InstanceName nameOf(std::size_t Node) {
  return framework::InstanceName("entry-" + std::to_string(Node));
}

std::string addressOf(std::size_t Node) { return "10." + std::to_string(Node); }

} // namespace

QuotaFleet::QuotaFleet(Options Chosen)
    : Options_(std::move(Chosen)), Rng_(Options_.Seed_) {
  Nodes_.reserve(2 * Options_.Instances_ + 8);
  for (std::size_t Index = 0; Index < Options_.Instances_; ++Index) {
    Nodes_.emplace_back();
    ByAddress_[addressOf(Index)] = Index;
    start(Index);
  }
  refreshAllLater(milliseconds(500));
  if (!Options_.IsWarm_)
    return;
  const double FillSeconds =
      std::min(60.0, std::max(1.0, Options_.Limit_.Burst_) /
                         Options_.Limit_.RequestsPerSecond_);
  pass(seconds(9) +
       std::chrono::ceil<Duration>(std::chrono::duration<double>(FillSeconds)));
}

void QuotaFleet::start(std::size_t Index) {
  Node &Each = Nodes_[Index];
  Each.Coordinator_ = std::make_unique<QuotaCoordinator>(
      QuotaSettings{.Self_ = nameOf(Index),
                    .Incarnation_ =
                        framework::Incarnation(++Each.Incarnation_)},
      framework::Random(Rng_.bits()));
  Each.IsAlive_ = true;
  Each.IsReady_ = false;
  Each.IsFrozen_ = false;
  Each.HasLeft_ = false;
  Each.Held_.clear();
  Each.TickAt_.reset();
  Each.StartedAt_ = Now_;
  Each.Coordinator_->setQuotas({Options_.Limit_}, Now_);
}

std::size_t QuotaFleet::join() {
  const std::size_t Index = Nodes_.size();
  Nodes_.emplace_back();
  ByAddress_[addressOf(Index)] = Index;
  start(Index);
  refresh();
  return Index;
}

void QuotaFleet::kill(std::size_t Index) {
  Nodes_[Index].IsAlive_ = false;
  Nodes_[Index].GoneAt_ = Now_;
  refreshAllLater(LostAfter);
  refreshAllLater(ForgottenAfter);
}

void QuotaFleet::leave(std::size_t Index) {
  kill(Index);
  Nodes_[Index].HasLeft_ = true;
  refreshAllLater(Duration{});
}

void QuotaFleet::freeze(std::size_t Index, bool IsFrozen) {
  Node &Each = Nodes_[Index];
  Each.IsFrozen_ = IsFrozen;
  if (IsFrozen)
    return;
  for (auto &Action : std::exchange(Each.Held_, {}))
    Action();
  Each.Coordinator_->tick(Now_);
  collect(Index);
}

void QuotaFleet::partition(std::size_t Count) {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    Nodes_[Index].Side_ = Index < Count ? 0 : 1;
  CutAt_ = Now_;
  refreshAllLater(LostAfter);
  refreshAllLater(ForgottenAfter);
}

void QuotaFleet::heal() {
  for (Node &Each : Nodes_)
    Each.Side_ = 0;
  CutAt_.reset();
  refreshAllLater(milliseconds(500));
}

void QuotaFleet::setLimit(WorkspaceLimit Limit) {
  Options_.Limit_ = std::move(Limit);
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (!Nodes_[Index].IsAlive_)
      continue;
    Nodes_[Index].Coordinator_->setQuotas({Options_.Limit_}, Now_);
    collect(Index);
  }
}

void QuotaFleet::refresh() { refreshAllLater(milliseconds(500)); }

void QuotaFleet::refreshAllLater(Duration Delay) {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    schedule(Now_ + Delay + microseconds(Rng_.index(1'000'000)), [this, Index] {
      if (Nodes_[Index].IsAlive_ && !Nodes_[Index].IsFrozen_)
        refreshMembers(Index);
    });
}

void QuotaFleet::refreshMembers(std::size_t Index) {
  std::vector<QuotaMember> Running;
  std::size_t Known = 1;
  const Node &Self = Nodes_[Index];
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    const Node &Peer = Nodes_[Other];
    if (Other == Index)
      continue;
    Instant HeardAt = Peer.IsAlive_ ? Now_ : Peer.GoneAt_;
    if (Peer.Side_ != Self.Side_)
      HeardAt = std::min(HeardAt, *CutAt_);
    if (HeardAt < Self.StartedAt_ || HeardAt < Peer.StartedAt_ ||
        Now_ - HeardAt >= ForgottenAfter)
      continue;
    ++Known;
    if (Now_ - HeardAt < LostAfter && !Peer.HasLeft_)
      Running.push_back({nameOf(Other),
                         framework::Incarnation(Peer.Incarnation_),
                         addressOf(Other)});
  }
  Nodes_[Index].IsReady_ = true;
  Self.Coordinator_->setMembers(std::move(Running), Known);
  collect(Index);
}

bool QuotaFleet::isConnected(std::size_t From, std::size_t To) const {
  return Nodes_[From].Side_ == Nodes_[To].Side_;
}

std::size_t QuotaFleet::anyNode() {
  // Callers come to an instance once it knows its peers, if any does.
  for (int Tries = 0;; ++Tries) {
    const std::size_t Index = Rng_.index(Nodes_.size());
    const Node &Each = Nodes_[Index];
    if (Each.IsAlive_ && !Each.IsFrozen_ && (Each.IsReady_ || Tries > 100))
      return Index;
  }
}

void QuotaFleet::schedule(Instant At, std::function<void()> Action) {
  Events_.push({At, NextOrder_++, std::move(Action)});
}

void QuotaFleet::runUntil(Instant End) {
  while (!Events_.empty() && Events_.top().At_ <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = std::max(Now_, Next.At_);
    Next.Action_();
  }
  Now_ = End;
}

void QuotaFleet::pass(Duration Time) { runUntil(Now_ + Time); }

void QuotaFleet::run(double PerSecond, Duration Time,
                     const std::function<std::size_t()> &Choose) {
  const Instant End = Now_ + Time;
  for (;;) {
    const double Gap = Rng_.exponential(1 / PerSecond);
    const Instant At =
        Now_ + microseconds(static_cast<std::int64_t>(Gap * 1e6));
    if (At >= End)
      break;
    runUntil(At);
    call(Choose ? Choose() : anyNode());
  }
  runUntil(End);
}

void QuotaFleet::call(std::size_t Index) {
  const std::size_t Call = Arrivals_.size();
  Arrivals_.push_back({Now_, false});
  const QuotaAnswer Answer = at(Index).request(Options_.Limit_.Workspace_,
                                               framework::CallId(Call), Now_);
  if (Answer.Verdict_ != QuotaVerdict::Pending)
    record(Call, Answer.Verdict_ == QuotaVerdict::Admitted);
  collect(Index);
}

void QuotaFleet::giveBack(std::size_t Index) {
  at(Index).giveBack(Options_.Limit_.Workspace_, Now_);
  collect(Index);
}

void QuotaFleet::record(std::size_t Index, bool IsAdmitted) {
  Arrival &Each = Arrivals_[Index];
  const Duration Wait = Now_ - Each.At_;
  LongestWait_ = std::max(LongestWait_, Wait);
  WaitCount_ += Wait > Duration{} ? 1 : 0;
  Each.At_ = Now_;
  Each.IsAdmitted_ = IsAdmitted;
}

void QuotaFleet::collect(std::size_t Index) {
  Node &Each = Nodes_[Index];
  for (const QuotaDecision &Decision : Each.Coordinator_->takeDecisions())
    record(Decision.Call_.value(), Decision.IsAdmitted_);
  for (const QuotaMessage &Message : Each.Coordinator_->takeMessages())
    deliver(Index, Message);
  const std::optional<Instant> WakeUp = Each.Coordinator_->nextWakeUp();
  if (!WakeUp || (Each.TickAt_ && *Each.TickAt_ <= *WakeUp))
    return;
  const Instant At = std::max(*WakeUp, Now_);
  Each.TickAt_ = At;
  schedule(At, [this, Index, At, Run = Each.Incarnation_] {
    Node &Due = Nodes_[Index];
    if (!Due.IsAlive_ || Due.Incarnation_ != Run || Due.TickAt_ != At)
      return;
    Due.TickAt_.reset();
    if (Due.IsFrozen_)
      return;
    Due.Coordinator_->tick(Now_);
    collect(Index);
  });
}

void QuotaFleet::deliver(std::size_t From, const QuotaMessage &Message) {
  ++SentMessages_;
  ++Nodes_[From].Sent_;
  const std::size_t To = ByAddress_.at(Message.Address_);
  if (Rng_.fraction() < Options_.Loss_)
    return;
  const bool IsSameZone = From % Options_.Zones_ == To % Options_.Zones_;
  const auto OneWay =
      microseconds(IsSameZone ? 200 : static_cast<int>(500 + Rng_.index(400)));
  const auto Jitter =
      microseconds(static_cast<std::int64_t>(Rng_.exponential(200)));
  schedule(Now_ + OneWay + Jitter, [this, From, To,
                                    Content = Message.Content_] {
    Node &Receiver = Nodes_[To];
    if (!Receiver.IsAlive_ || Receiver.IsDeaf_ || !isConnected(From, To))
      return;
    const auto Handle = [this, To, Content] {
      std::visit([&](const auto &Each) { at(To).handle(Each, Now_); }, Content);
      collect(To);
    };
    if (Receiver.IsFrozen_)
      Receiver.Held_.push_back(Handle);
    else
      Handle();
  });
}

std::size_t QuotaFleet::home() const {
  // The instance that gave most grants to others is the home instance.
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    if (Nodes_[Index].IsAlive_ && Nodes_[Index].Sent_ > Nodes_[Best].Sent_)
      Best = Index;
  return Best;
}

std::size_t QuotaFleet::admittedSince(Instant At) const {
  return static_cast<std::size_t>(std::count_if(
      Arrivals_.begin(), Arrivals_.end(),
      [&](const Arrival &Each) { return Each.At_ >= At && Each.IsAdmitted_; }));
}

std::size_t QuotaFleet::arrivedSince(Instant At) const {
  return static_cast<std::size_t>(
      std::count_if(Arrivals_.begin(), Arrivals_.end(),
                    [&](const Arrival &Each) { return Each.At_ >= At; }));
}

std::size_t QuotaFleet::largestWindow(Instant Since) const {
  std::vector<Instant> Admitted;
  for (const Arrival &Each : Arrivals_)
    if (Each.IsAdmitted_)
      Admitted.push_back(Each.At_);
  std::sort(Admitted.begin(), Admitted.end());
  std::size_t Largest = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Admitted.size(); ++Last) {
    while (Admitted[First] <= Admitted[Last] - seconds(5))
      ++First;
    if (Admitted[Last] >= Since)
      Largest = std::max(Largest, Last - First + 1);
  }
  return Largest;
}

double QuotaFleet::bound() const {
  const WorkspaceLimit &Limit = Options_.Limit_;
  return (Limit.RequestsPerSecond_ * 5 + Limit.Burst_) * 1.25 + 20;
}

std::size_t QuotaFleet::idealAdmittedSince(Instant At) const {
  std::vector<Instant> Times;
  for (const Arrival &Each : Arrivals_)
    Times.push_back(Each.At_);
  std::sort(Times.begin(), Times.end());
  const double Rate = Options_.Limit_.RequestsPerSecond_;
  const double Size = std::max(Options_.Limit_.Burst_, 1.0);
  double Level = Size;
  Instant Last{};
  std::size_t Count = 0;
  for (const Instant Each : Times) {
    const std::chrono::duration<double> Elapsed = Each - Last;
    Level = std::min(Size, Level + Rate * Elapsed.count());
    Last = Each;
    if (Level < 1)
      continue;
    Level -= 1;
    Count += Each >= At ? 1 : 0;
  }
  return Count;
}

QuotaCounters QuotaFleet::counters() const {
  QuotaCounters Sum;
  for (const Node &Each : Nodes_) {
    const QuotaCounters &Own = Each.Coordinator_->counters();
    Sum.Admitted_ += Own.Admitted_;
    Sum.Refused_ += Own.Refused_;
    Sum.GrantsGiven_ += Own.GrantsGiven_;
    Sum.RequestsUnanswered_ += Own.RequestsUnanswered_;
    Sum.MessagesRejected_ += Own.MessagesRejected_;
    Sum.AdmittedFromReserve_ += Own.AdmittedFromReserve_;
  }
  return Sum;
}

} // namespace cranberryspool::quotas
