#include "quotas/internal/coordinatorstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryspool::quotas {

using framework::Duration;
using framework::Instant;
using framework::WorkspaceName;

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(1);
/// Values above this from another instance are rejected.
constexpr std::uint64_t MaxFleetSize = 100'000;
constexpr Duration MaxNextCreditIn = std::chrono::hours(2);
/// The retry delay from an instance that has not read the quota yet.
constexpr Duration UnknownQuotaDelay = std::chrono::milliseconds(100);

bool isLimited(const WorkspaceLimit &Limit) {
  return std::isfinite(Limit.RequestsPerSecond_) &&
         std::isfinite(Limit.Burst_) && Limit.RequestsPerSecond_ > 0 &&
         Limit.Burst_ >= 0;
}

bool isPossible(const FleetSize &Size) {
  return Size.Count_ > 0 && Size.Count_ <= MaxFleetSize &&
         Size.Age_ >= Duration{};
}

} // namespace

CoordinatorState::CoordinatorState(QuotaSettings Settings,
                                   framework::Random Rng)
    : Settings_(std::move(Settings)), Rng_(Rng), Members_(Settings_) {}

void CoordinatorState::setQuotas(std::vector<WorkspaceLimit> Limits,
                                 Instant Now) {
  Members_.advance(Now);
  Limits_.clear();
  for (WorkspaceLimit &Each : Limits)
    if (isLimited(Each))
      Limits_.insert_or_assign(Each.Workspace_, Each);
  for (auto Each = Active_.begin(); Each != Active_.end();) {
    const auto Limit = Limits_.find(Each->first);
    const bool IsGone = Limit == Limits_.end();
    changeLimit(Each->second, IsGone ? nullptr : &Limit->second, Now);
    Each = IsGone ? Active_.erase(Each) : std::next(Each);
  }
  dispatchMessages(Now);
}

void CoordinatorState::changeLimit(Workspace &Each, const WorkspaceLimit *New,
                                   Instant Now) {
  if (New == nullptr) {
    if (Each.Account_)
      Each.Account_->admitPending(makeContext(Each, Now));
    return;
  }
  // The time until now counts at the old rate.
  if (Each.Share_)
    Each.Share_->adjust(makeContext(Each, Now));
  const WorkspaceLimit Old = std::exchange(Each.Limit_, *New);
  const QuotaContext Context = makeContext(Each, Now);
  if (Each.Share_)
    Each.Share_->adjust(Context);
  if (Each.Pool_)
    Each.Pool_->adjust(Context);
  if (Each.Account_ && (New->RequestsPerSecond_ < Old.RequestsPerSecond_ ||
                        New->Burst_ < Old.Burst_))
    Each.Account_->dropCredits();
}

void CoordinatorState::setMembers(std::vector<QuotaMember> Running,
                                  std::size_t KnownCount) {
  Members_.setMembers(std::move(Running), KnownCount);
}

QuotaAnswer CoordinatorState::request(const WorkspaceName &Name,
                                      framework::CallId Call, Instant Now) {
  Members_.advance(Now);
  Workspace *Found = activate(Name);
  if (Found == nullptr)
    return {QuotaVerdict::Admitted, {}};
  if (!Found->Account_)
    Found->Account_.emplace();
  const QuotaAnswer Answer =
      Found->Account_->request(Call, makeContext(*Found, Now));
  dispatchMessages(Now);
  if (Answer.Verdict_ != QuotaVerdict::Pending)
    return Answer;
  // The call may have been decided without another instance.
  const auto Decided =
      std::find_if(Decisions_.begin(), Decisions_.end(),
                   [&](const auto &Each) { return Each.Call_ == Call; });
  if (Decided == Decisions_.end())
    return Answer;
  const QuotaDecision Decision = *Decided;
  Decisions_.erase(Decided);
  return {Decision.IsAdmitted_ ? QuotaVerdict::Admitted
                               : QuotaVerdict::OverQuota,
          Decision.NextCreditIn_};
}

void CoordinatorState::cancel(framework::CallId Call) {
  for (auto &[Name, Each] : Active_)
    if (Each.Account_)
      Each.Account_->cancel(Call);
}

void CoordinatorState::giveBack(const WorkspaceName &Name, Instant Now) {
  Members_.advance(Now);
  Workspace *Found = activate(Name);
  if (Found == nullptr)
    return;
  if (!Found->Account_)
    Found->Account_.emplace();
  Found->Account_->giveBack(makeContext(*Found, Now));
  dispatchMessages(Now);
}

void CoordinatorState::handle(const QuotaRequest &Message, Instant Now) {
  Members_.advance(Now);
  if (Message.From_ == Settings_.Self_ || Message.Sequence_ == 0 ||
      Message.Wanted_ > MaxCredits || Message.Returned_ > MaxCredits ||
      !isPossible(Message.Fleet_) ||
      isFromPast(Message.From_, Message.Incarnation_)) {
    ++Counters_.MessagesRejected_;
    return;
  }
  Members_.clearSuspicion(Message.From_);
  Members_.learnFleetSize(Message.Fleet_);
  apply(Message, Now);
  dispatchMessages(Now);
}

void CoordinatorState::handle(const QuotaGrant &Message, Instant Now) {
  Members_.advance(Now);
  if (Message.From_ == Settings_.Self_ ||
      Message.EchoIncarnation_ != Settings_.Incarnation_ ||
      Message.Granted_ > MaxCredits || Message.NextCreditIn_ < Duration{} ||
      Message.NextCreditIn_ > MaxNextCreditIn || !isPossible(Message.Fleet_) ||
      isFromPast(Message.From_, Message.Incarnation_)) {
    ++Counters_.MessagesRejected_;
    return;
  }
  Members_.clearSuspicion(Message.From_);
  Members_.learnFleetSize(Message.Fleet_);
  apply(Message, Now);
  dispatchMessages(Now);
}

void CoordinatorState::tick(Instant Now) {
  Members_.advance(Now);
  for (auto &[Name, Each] : Active_) {
    const QuotaContext Context = makeContext(Each, Now);
    const auto IsDue = [&](const auto &Part) {
      return Part && Part->dueAt() && *Part->dueAt() <= Now;
    };
    if (IsDue(Each.Pool_))
      Each.Pool_->tick(Context);
    if (IsDue(Each.Account_))
      Each.Account_->tick(Context);
  }
  dispatchMessages(Now);
  if (Now < NextSweepAt_)
    return;
  NextSweepAt_ = Now + SweepInterval;
  dropIdle(Now);
}

std::optional<Instant> CoordinatorState::nextWakeUp() const {
  if (Members_.isReviewDue())
    return Instant{};
  if (Active_.empty())
    return std::nullopt;
  Instant Next = NextSweepAt_;
  for (const auto &[Name, Each] : Active_) {
    if (Each.Pool_)
      Next = std::min(Next, Each.Pool_->dueAt().value_or(Next));
    if (Each.Account_)
      Next = std::min(Next, Each.Account_->dueAt().value_or(Next));
  }
  return Next;
}

std::vector<QuotaMessage> CoordinatorState::takeMessages() {
  return std::exchange(Messages_, {});
}

std::vector<QuotaDecision> CoordinatorState::takeDecisions() {
  return std::exchange(Decisions_, {});
}

CoordinatorState::Workspace *
CoordinatorState::activate(const WorkspaceName &Name) {
  const auto Found = Active_.find(Name);
  if (Found != Active_.end())
    return &Found->second;
  const auto Limit = Limits_.find(Name);
  if (Limit == Limits_.end())
    return nullptr;
  Workspace &New = Active_[Name];
  New.Limit_ = Limit->second;
  return &New;
}

QuotaContext CoordinatorState::makeContext(Workspace &Each, Instant Now) {
  if (Each.MembersVersion_ != Members_.version()) {
    Each.MembersVersion_ = Members_.version();
    Each.Shareholders_ = Members_.findShareholders(Each.Limit_.Workspace_);
  }
  return {.Now_ = Now,
          .Limit_ = Each.Limit_,
          .Shareholders_ = Each.Shareholders_,
          .Settings_ = Settings_,
          .Members_ = Members_,
          .Outbox_ = Outbox_,
          .Counters_ = Counters_,
          .Decisions_ = Decisions_,
          .Rng_ = Rng_};
}

void CoordinatorState::apply(const QuotaRequest &Message, Instant Now) {
  if (Message.Wanted_ == 0 && Message.Returned_ == 0)
    return answer(Message, 0, {});
  Workspace *Found = activate(Message.Workspace_);
  if (Found == nullptr)
    return answer(Message, 0, UnknownQuotaDelay);
  if (Message.IsForShare_)
    return answer(Message, takeShare(Message, *Found, Now), {});
  const QuotaContext Context = makeContext(*Found, Now);
  if (!Found->Pool_)
    Found->Pool_.emplace(Context);
  Found->Pool_->handle(Message, Context);
}

Credits CoordinatorState::takeShare(const QuotaRequest &Message,
                                    Workspace &Found, Instant Now) {
  const QuotaContext Context = makeContext(Found, Now);
  if (!isShareholder(Found)) {
    Found.Share_.reset();
    return 0;
  }
  if (!Found.Share_)
    Found.Share_.emplace(Members_.shareStart(Message.Workspace_));
  return Found.Share_->take(Message, Context);
}

void CoordinatorState::apply(const QuotaGrant &Message, Instant Now) {
  const auto Found = Active_.find(Message.Workspace_);
  if (Found == Active_.end())
    return;
  const QuotaContext Context = makeContext(Found->second, Now);
  if (Found->second.Pool_)
    Found->second.Pool_->handle(Message, Context);
  if (Found->second.Account_)
    Found->second.Account_->handle(Message, Context);
}

void CoordinatorState::answer(const QuotaRequest &Message, Credits Amount,
                              Duration NextCreditIn) {
  if (Amount > 0 && Message.From_ != Settings_.Self_)
    ++Counters_.GrantsGiven_;
  Outbox_.send(Message.From_,
               QuotaGrant{.From_ = Settings_.Self_,
                          .Incarnation_ = Settings_.Incarnation_,
                          .EchoIncarnation_ = Message.Incarnation_,
                          .EchoSequence_ = Message.Sequence_,
                          .Workspace_ = Message.Workspace_,
                          .Granted_ = static_cast<std::uint64_t>(Amount),
                          .NextCreditIn_ = NextCreditIn,
                          .Fleet_ = {}});
}

bool CoordinatorState::isFromPast(const framework::InstanceName &From,
                                  framework::Incarnation Incarnation) const {
  const QuotaMember *Member = Members_.find(From);
  return Member != nullptr && Incarnation < Member->Incarnation_;
}

bool CoordinatorState::isShareholder(const Workspace &Each) const {
  return std::any_of(Each.Shareholders_.begin(), Each.Shareholders_.end(),
                     [this](const MemberView::Shareholder &Holder) {
                       return Holder.Name_ == Settings_.Self_;
                     });
}

void CoordinatorState::dispatchMessages(Instant Now) {
  while (!Outbox_.Entries_.empty()) {
    std::vector<QuotaOutbox::Entry> Entries =
        std::exchange(Outbox_.Entries_, {});
    for (QuotaOutbox::Entry &Each : Entries) {
      if (Each.To_ == Settings_.Self_) {
        std::visit([&](const auto &Content) { apply(Content, Now); },
                   Each.Content_);
        continue;
      }
      std::visit([&](auto &Content) { Content.Fleet_ = Members_.fleetSize(); },
                 Each.Content_);
      if (const QuotaMember *Member = Members_.find(Each.To_))
        Messages_.push_back({Member->Address_, std::move(Each.Content_)});
    }
  }
}

void CoordinatorState::dropIdle(Instant Now) {
  for (auto Each = Active_.begin(); Each != Active_.end();) {
    Workspace &Current = Each->second;
    const QuotaContext Context = makeContext(Current, Now);
    if (Current.Share_ && Current.Share_->isIdle(Context))
      Current.Share_.reset();
    if (Current.Pool_ && Current.Pool_->isIdle(Context))
      Current.Pool_.reset();
    if (Current.Account_ && Current.Account_->isIdle(Context))
      Current.Account_.reset();
    const bool IsIdle = !Current.Share_ && !Current.Pool_ && !Current.Account_;
    Each = IsIdle ? Active_.erase(Each) : std::next(Each);
  }
}

} // namespace cranberryspool::quotas
