#include "quotas/internal/callaccount.h"

#include "quotas/internal/quotacontext.h"

#include <algorithm>

namespace cranberryspool::quotas {

using framework::Duration;
using framework::Instant;

namespace {

/// Credits that expired long ago belong to an instance that was suspended; the
/// home instance has granted others since.
constexpr Duration MaxReturnDelay = std::chrono::seconds(1);

/// Returns the first shareholder by rank that answers, or null.
const framework::InstanceName *findHome(const QuotaContext &Context) {
  for (const MemberView::Shareholder &Each : Context.Shareholders_)
    if (Each.IsRunning_ && !Context.Members_.isSuspected(Each.Name_))
      return &Each.Name_;
  return nullptr;
}

} // namespace

QuotaAnswer CallAccount::request(framework::CallId Call,
                                 const QuotaContext &Context) {
  RequestedAt_ = Context.Now_;
  Demand_.record(1, Context.Now_);
  returnExpired(Context);
  probeSuspects(Context);
  if (Credits_ < OneCredit || !Pending_.empty())
    return answerWithoutCredit(Call, Context);
  Credits_ -= OneCredit;
  ++Context.Counters_.Admitted_;
  requestAhead(Context);
  return {QuotaVerdict::Admitted, {}};
}

QuotaAnswer CallAccount::answerWithoutCredit(framework::CallId Call,
                                             const QuotaContext &Context) {
  if (IsOutage_ && findHome(Context) != nullptr) {
    IsOutage_ = false;
    RefuseUntil_ = Context.Now_;
  }
  if (Context.Now_ >= RefuseUntil_) {
    Pending_.push_back({Call, Context.Now_});
    if (!Sent_)
      requestCredits(Context);
    return {QuotaVerdict::Pending, {}};
  }
  if (IsOutage_ && takeReserve(Context)) {
    ++Context.Counters_.Admitted_;
    return {QuotaVerdict::Admitted, {}};
  }
  ++Context.Counters_.Refused_;
  const Duration Wait = RefuseUntil_ - Context.Now_;
  return {QuotaVerdict::OverQuota,
          IsOutage_ ? std::max(Wait, OutageRetryDelay) : Wait};
}

void CallAccount::cancel(framework::CallId Call) {
  std::erase_if(Pending_,
                [&](const PendingCall &Each) { return Each.Call_ == Call; });
}

void CallAccount::giveBack(const QuotaContext &Context) {
  RequestedAt_ = Context.Now_;
  returnExpired(Context);
  Credits_ += OneCredit;
  ExpiresAt_ = Context.Now_ + CreditLifetime;
  settlePending(Context);
}

void CallAccount::handle(const QuotaGrant &Message,
                         const QuotaContext &Context) {
  if (!Sent_ || Sent_->Home_ != Message.From_ ||
      Sent_->Request_.Sequence_ != Message.EchoSequence_)
    return;
  const std::uint64_t Wanted = Sent_->Request_.Wanted_;
  if (Message.Granted_ > Wanted) {
    ++Context.Counters_.MessagesRejected_;
    return;
  }
  Sent_.reset();
  if (Message.Granted_ > 0) {
    returnExpired(Context);
    Credits_ += static_cast<Credits>(Message.Granted_);
    ExpiresAt_ = Context.Now_ + CreditLifetime;
  }
  IsOutage_ = false;
  settlePending(Context);
  if (Message.Granted_ < Wanted) {
    // A random addition keeps the instances from asking at the same time.
    const auto Extra = static_cast<Duration::rep>(
        0.1 * Context.Rng_.fraction() *
        static_cast<double>(Message.NextCreditIn_.count()));
    RefuseUntil_ = Context.Now_ + Message.NextCreditIn_ + Duration(Extra);
    refusePending(RefuseUntil_ - Context.Now_, Context);
  } else if (!Pending_.empty() && !Sent_) {
    requestCredits(Context);
  }
}

void CallAccount::tick(const QuotaContext &Context) {
  while (!Pending_.empty() &&
         Context.Now_ >= Pending_.front().Since_ + DecisionTimeout)
    decideFirstAlone(Context);
  if (Sent_ && Context.Now_ >= Sent_->At_ + Sent_->Tries_ * RetryInterval)
    retry(Context);
  returnExpired(Context);
}

void CallAccount::admitPending(const QuotaContext &Context) {
  while (!Pending_.empty())
    decide(true, {}, Context);
}

std::optional<Instant> CallAccount::dueAt() const {
  std::optional<Instant> Due;
  const auto Include = [&](Instant At) { Due = Due ? std::min(*Due, At) : At; };
  if (!Pending_.empty())
    Include(Pending_.front().Since_ + DecisionTimeout);
  if (Sent_)
    Include(Sent_->At_ + Sent_->Tries_ * RetryInterval);
  else if (Credits_ >= OneCredit)
    Include(ExpiresAt_);
  return Due;
}

bool CallAccount::isIdle(const QuotaContext &Context) const {
  const bool IsReserveUsed =
      !ReserveUses_.empty() &&
      Context.Now_ < ReserveUses_.back() + Context.Settings_.Window_;
  return Pending_.empty() && !Sent_ && Credits_ < OneCredit && !IsReserveUsed &&
         Context.Now_ >= RequestedAt_ + IdleTimeout &&
         Context.Now_ >= RefuseUntil_;
}

void CallAccount::requestCredits(const QuotaContext &Context) {
  const framework::InstanceName *Home = findHome(Context);
  if (Home == nullptr) {
    RefuseUntil_ = Context.Now_ + OutageWait;
    IsOutage_ = true;
    decideAllAlone(Context);
    return;
  }
  const auto Count = static_cast<Credits>(Pending_.size());
  send(*Home, Count * OneCredit + ahead(Context), 0, Context);
}

void CallAccount::requestAhead(const QuotaContext &Context) {
  const Credits Ahead = ahead(Context);
  if (Sent_ || 2 * Credits_ >= Ahead || Context.Now_ < RefuseUntil_)
    return;
  if (const framework::InstanceName *Home = findHome(Context))
    send(*Home, Ahead, 0, Context);
}

void CallAccount::returnExpired(const QuotaContext &Context) {
  if (Credits_ == 0 || Context.Now_ < ExpiresAt_)
    return;
  const Credits Expired = std::exchange(Credits_, 0);
  const framework::InstanceName *Home = findHome(Context);
  if (Home != nullptr && !Sent_ && Context.Now_ < ExpiresAt_ + MaxReturnDelay)
    send(*Home, 0, Expired, Context);
}

void CallAccount::retry(const QuotaContext &Context) {
  if (Sent_->Tries_ < MaxTries) {
    ++Sent_->Tries_;
    Context.Outbox_.send(Sent_->Home_, Sent_->Request_);
    return;
  }
  ++Context.Counters_.RequestsUnanswered_;
  Context.Members_.suspect(Sent_->Home_, Context.Now_);
  // Returned credits may have arrived, so they are not sent to another one.
  Sent_.reset();
  if (!Pending_.empty())
    requestCredits(Context);
}

void CallAccount::send(const framework::InstanceName &Home, Credits Wanted,
                       Credits Returned, const QuotaContext &Context) {
  QuotaRequest Request{.From_ = Context.Settings_.Self_,
                       .Incarnation_ = Context.Settings_.Incarnation_,
                       .Workspace_ = Context.Limit_.Workspace_,
                       .Sequence_ = Context.Outbox_.nextSequence(),
                       .IsForShare_ = false,
                       .Wanted_ = static_cast<std::uint64_t>(Wanted),
                       .Returned_ = static_cast<std::uint64_t>(Returned),
                       .Fleet_ = {}};
  Context.Outbox_.send(Home, Request);
  Sent_ = Sent{Home, std::move(Request), Context.Now_, 1};
}

void CallAccount::settlePending(const QuotaContext &Context) {
  while (!Pending_.empty() && Credits_ >= OneCredit) {
    Credits_ -= OneCredit;
    decide(true, {}, Context);
  }
}

void CallAccount::refusePending(Duration NextCreditIn,
                                const QuotaContext &Context) {
  while (!Pending_.empty())
    decide(false, NextCreditIn, Context);
}

void CallAccount::decideFirstAlone(const QuotaContext &Context) {
  const bool IsAdmitted = takeReserve(Context);
  decide(IsAdmitted, IsAdmitted ? Duration{} : OutageRetryDelay, Context);
}

void CallAccount::decideAllAlone(const QuotaContext &Context) {
  while (!Pending_.empty())
    decideFirstAlone(Context);
}

bool CallAccount::takeReserve(const QuotaContext &Context) {
  while (!ReserveUses_.empty() &&
         ReserveUses_.front() + Context.Settings_.Window_ <= Context.Now_)
    ReserveUses_.pop_front();
  if (ReserveUses_.size() >=
      Context.Members_.reserve(Context.Limit_.Workspace_))
    return false;
  ReserveUses_.push_back(Context.Now_);
  ++Context.Counters_.AdmittedFromReserve_;
  return true;
}

void CallAccount::decide(bool IsAdmitted, Duration NextCreditIn,
                         const QuotaContext &Context) {
  ++(IsAdmitted ? Context.Counters_.Admitted_ : Context.Counters_.Refused_);
  Context.Decisions_.push_back(
      {Pending_.front().Call_, IsAdmitted, NextCreditIn});
  Pending_.pop_front();
}

void CallAccount::probeSuspects(const QuotaContext &Context) const {
  for (const MemberView::Shareholder &Each : Context.Shareholders_) {
    if (!Context.Members_.takeProbe(Each.Name_, Context.Now_))
      continue;
    Context.Outbox_.send(
        Each.Name_, QuotaRequest{.From_ = Context.Settings_.Self_,
                                 .Incarnation_ = Context.Settings_.Incarnation_,
                                 .Workspace_ = Context.Limit_.Workspace_,
                                 .Sequence_ = Context.Outbox_.nextSequence(),
                                 .IsForShare_ = false,
                                 .Wanted_ = 0,
                                 .Returned_ = 0,
                                 .Fleet_ = {}});
  }
}

Credits CallAccount::ahead(const QuotaContext &Context) const {
  const Credits Ahead = toCredits(std::min(Demand_.perSecond(Context.Now_),
                                           Context.Limit_.RequestsPerSecond_) *
                                  CallerAheadSeconds);
  return Ahead - Ahead % OneCredit;
}

} // namespace cranberryspool::quotas
