#include "quotas/internal/creditpool.h"

#include "quotas/internal/bucketsize.h"
#include "quotas/internal/quotacontext.h"

#include <algorithm>

namespace cranberryspool::quotas {

using framework::Duration;
using framework::InstanceName;
using framework::Instant;

namespace {

Credits poolCapacity(const QuotaContext &Context) {
  return toCredits(bucketSize(Context.Limit_));
}

Credits wholeCredits(Credits Amount) { return Amount - Amount % OneCredit; }

} // namespace

CreditPool::CreditPool(const QuotaContext &Context)
    : Limiter_(poolCapacity(Context)), RefilledAt_(Context.Now_),
      RequestedAt_(Context.Now_) {}

void CreditPool::handle(const QuotaRequest &Message,
                        const QuotaContext &Context) {
  Requester &From = Requesters_[Message.From_];
  const bool IsSame = Message.Incarnation_ == From.Incarnation_ &&
                      Message.Sequence_ == From.Sequence_;
  if (IsSame && !From.IsWaiting_)
    Context.Outbox_.send(Message.From_, From.Answer_);
  if (IsSame || Message.Incarnation_ < From.Incarnation_ ||
      (Message.Incarnation_ == From.Incarnation_ &&
       Message.Sequence_ < From.Sequence_))
    return;
  RequestedAt_ = Context.Now_;
  refill(Context);
  if (Message.Returned_ > 0) {
    const auto Returned = static_cast<Credits>(Message.Returned_);
    const Credits Capacity = poolCapacity(Context);
    Collected_ =
        std::max(Collected_, std::min(Collected_ + Returned, Capacity));
    Limiter_ = std::min(Limiter_ + Returned, Capacity);
  }
  if (!From.IsWaiting_)
    Waiting_.push_back(Message.From_);
  From.Incarnation_ = Message.Incarnation_;
  From.Sequence_ = Message.Sequence_;
  From.Wanted_ = static_cast<Credits>(Message.Wanted_);
  From.IsWaiting_ = true;
  From.At_ = Context.Now_;
  Demand_.record(static_cast<double>(From.Wanted_) / OneCredit, Context.Now_);
  serve(Context);
}

void CreditPool::handle(const QuotaGrant &Message,
                        const QuotaContext &Context) {
  const auto Found = std::find_if(
      Collections_.begin(), Collections_.end(), [&](const Collection &Each) {
        return Each.Holder_ == Message.From_ &&
               Each.Request_.Sequence_ == Message.EchoSequence_;
      });
  if (Found == Collections_.end())
    return;
  if (Message.Granted_ > Found->Request_.Wanted_) {
    ++Context.Counters_.MessagesRejected_;
    return;
  }
  Collected_ += static_cast<Credits>(Message.Granted_);
  FullAnswerCount_ += Message.Granted_ == Found->Request_.Wanted_ ? 1 : 0;
  ++AnswerCount_;
  const bool WasAwaited = Found->IsAwaited_;
  Collections_.erase(Found);
  if (WasAwaited && !isCollecting())
    finishCollecting(Context);
  else
    serve(Context);
}

void CreditPool::tick(const QuotaContext &Context) {
  if (isCollecting() &&
      Context.Now_ >= CollectedAt_ + Tries_ * ShareRetryInterval)
    giveUpOn(Context);
  serve(Context);
}

void CreditPool::adjust(const QuotaContext &Context) {
  Limiter_ = std::min(Limiter_, poolCapacity(Context));
  Collected_ = std::min(Collected_, poolCapacity(Context));
}

std::optional<Instant> CreditPool::dueAt() const {
  if (Waiting_.empty())
    return isCollecting()
               ? std::optional(CollectedAt_ + Tries_ * ShareRetryInterval)
               : std::nullopt;
  const Instant Deadline = Requesters_.at(Waiting_.front()).At_ + HomeTimeout;
  const Instant Next = isCollecting()
                           ? CollectedAt_ + Tries_ * ShareRetryInterval
                           : NextCollectionAt_;
  return std::min(Deadline, Next);
}

bool CreditPool::isIdle(const QuotaContext &Context) {
  std::erase_if(Requesters_, [&](const auto &Each) {
    return !Each.second.IsWaiting_ &&
           Context.Now_ >= Each.second.At_ + IdleTimeout;
  });
  // Slow workspaces collect parts of a credit for longer.
  const Duration Timeout =
      IdleTimeout + timeFor(2 * OneCredit, Context.Limit_.RequestsPerSecond_);
  return Waiting_.empty() && !isCollecting() &&
         Context.Now_ >= RequestedAt_ + Timeout;
}

void CreditPool::refill(const QuotaContext &Context) {
  const Duration Elapsed = Context.Now_ - RefilledAt_;
  // Credits of an instance that was suspended are old, and were not counted
  // against the windows since.
  if (Elapsed > IdleTimeout)
    Collected_ = std::min(Collected_, OneCredit);
  // Where the fleet is divided, the slack of the fractions and the excess of
  // the shares together would exceed the bound.
  const double Rate =
      Context.Limit_.RequestsPerSecond_ * Context.Members_.fraction();
  Limiter_ =
      std::min(Limiter_ + creditsIn(Rate, Elapsed), poolCapacity(Context));
  RefilledAt_ = Context.Now_;
}

void CreditPool::serve(const QuotaContext &Context) {
  refill(Context);
  while (!Waiting_.empty()) {
    const InstanceName Name = Waiting_.front();
    Requester &First = Requesters_.at(Name);
    if (wholeCredits(available()) < First.Wanted_ && mayWait(First, Context))
      break;
    Waiting_.pop_front();
    answer(First, Name, Context);
  }
  const Credits Missing = missing(Context);
  if (Missing > 0 && !isCollecting() && Context.Now_ >= NextCollectionAt_)
    startCollecting(Missing, Context);
}

bool CreditPool::mayWait(const Requester &First,
                         const QuotaContext &Context) const {
  if (Context.Now_ >= First.At_ + HomeTimeout)
    return false;
  if (wholeCredits(Limiter_) <= wholeCredits(Collected_))
    return false;
  return isCollecting() ||
         NextCollectionAt_ <= Context.Now_ + MaxCollectionWait;
}

void CreditPool::answer(Requester &To, const InstanceName &Name,
                        const QuotaContext &Context) {
  const Credits Amount = std::min(To.Wanted_, wholeCredits(available()));
  Collected_ -= Amount;
  Limiter_ -= Amount;
  To.IsWaiting_ = false;
  To.Answer_ = QuotaGrant{.From_ = Context.Settings_.Self_,
                          .Incarnation_ = Context.Settings_.Incarnation_,
                          .EchoIncarnation_ = To.Incarnation_,
                          .EchoSequence_ = To.Sequence_,
                          .Workspace_ = Context.Limit_.Workspace_,
                          .Granted_ = static_cast<std::uint64_t>(Amount),
                          .NextCreditIn_ = {},
                          .Fleet_ = {}};
  if (Amount < To.Wanted_)
    To.Answer_.NextCreditIn_ = nextCreditIn(Context);
  if (Amount > 0 && Name != Context.Settings_.Self_)
    ++Context.Counters_.GrantsGiven_;
  Context.Outbox_.send(Name, To.Answer_);
}

Duration CreditPool::nextCreditIn(const QuotaContext &Context) const {
  const Duration UntilCollection = NextCollectionAt_ - Context.Now_;
  const Duration UntilCredit =
      timeFor(std::max(OneCredit - available(), Credits{0}),
              Context.Limit_.RequestsPerSecond_ * Context.Members_.fraction());
  const Duration Pace = std::min(
      WaitPerRequester * static_cast<Duration::rep>(Requesters_.size()),
      MaxRequesterWait);
  return std::max({UntilCollection, UntilCredit, Pace,
                   Duration(std::chrono::milliseconds(1))});
}

Credits CreditPool::missing(const QuotaContext &Context) const {
  Credits Waiting = 0;
  for (const InstanceName &Name : Waiting_)
    Waiting += Requesters_.at(Name).Wanted_;
  // The limiter does not let more pass.
  Waiting = std::min(Waiting, std::max(Limiter_, Credits{0}));
  const Credits Ahead = toCredits(std::min(Demand_.perSecond(Context.Now_),
                                           Context.Limit_.RequestsPerSecond_) *
                                  HomeAheadSeconds);
  if (Waiting == 0 && 2 * Collected_ >= Ahead)
    return 0;
  return Waiting + Ahead - Collected_;
}

void CreditPool::startCollecting(Credits Amount, const QuotaContext &Context) {
  const auto Count = static_cast<double>(Context.Shareholders_.size());
  const auto Each = static_cast<std::uint64_t>(
      std::ceil(static_cast<double>(Amount) * ShareExcess / Count));
  Collections_.clear();
  CollectedAt_ = Context.Now_;
  Tries_ = 1;
  FullAnswerCount_ = 0;
  AnswerCount_ = 0;
  for (const MemberView::Shareholder &Holder : Context.Shareholders_) {
    const bool IsAwaited =
        Holder.IsRunning_ && !Context.Members_.isSuspected(Holder.Name_);
    if (!IsAwaited && !Context.Members_.takeProbe(Holder.Name_, Context.Now_))
      continue;
    QuotaRequest Request{.From_ = Context.Settings_.Self_,
                         .Incarnation_ = Context.Settings_.Incarnation_,
                         .Workspace_ = Context.Limit_.Workspace_,
                         .Sequence_ = Context.Outbox_.nextSequence(),
                         .IsForShare_ = true,
                         .Wanted_ = Each,
                         .Returned_ = 0,
                         .Fleet_ = {}};
    Context.Outbox_.send(Holder.Name_, Request);
    Collections_.push_back({Holder.Name_, std::move(Request), IsAwaited});
  }
  if (!isCollecting())
    finishCollecting(Context);
}

bool CreditPool::isCollecting() const {
  return std::any_of(Collections_.begin(), Collections_.end(),
                     [](const Collection &Each) { return Each.IsAwaited_; });
}

void CreditPool::giveUpOn(const QuotaContext &Context) {
  const bool IsLast = Tries_ >= MaxShareTries;
  ++Tries_;
  for (Collection &Each : Collections_) {
    if (!Each.IsAwaited_)
      continue;
    if (!IsLast) {
      Context.Outbox_.send(Each.Holder_, Each.Request_);
      continue;
    }
    Each.IsAwaited_ = false;
    ++Context.Counters_.RequestsUnanswered_;
    Context.Members_.suspect(Each.Holder_, Context.Now_);
  }
  if (IsLast)
    finishCollecting(Context);
}

void CreditPool::finishCollecting(const QuotaContext &Context) {
  NextCollectionAt_ = Context.Now_;
  // While most shares have more, each collection gets most of what is missing.
  const bool HasMore = FullAnswerCount_ > 0 &&
                       2 * FullAnswerCount_ >= Context.Shareholders_.size();
  if (!HasMore) {
    const double Part =
        std::min(1.0, ShareExcess * static_cast<double>(AnswerCount_) /
                          static_cast<double>(Context.Shareholders_.size()));
    const double Rate = std::max(Part * Context.Members_.fraction(), 0.01) *
                        Context.Limit_.RequestsPerSecond_;
    const Credits Lacking = std::max(OneCredit - Collected_, Credits{0});
    NextCollectionAt_ =
        Context.Now_ + std::max(DrainedCollectInterval, timeFor(Lacking, Rate));
  }
  serve(Context);
}

} // namespace cranberryspool::quotas
