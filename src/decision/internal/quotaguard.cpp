#include "decision/internal/quotaguard.h"

#include <optional>
#include <utility>
#include <variant>

namespace cranberryspool::decision {

void QuotaGuard::updateQuotas(const EventContext &Context) {
  std::vector<quotas::WorkspaceLimit> Limits;
  for (const document::Workspace &Each :
       Core_.Environment_.document()->Workspaces_)
    if (Each.Quota_.isLimited())
      Limits.push_back(
          {Each.Name_, Each.Quota_.RequestsPerSecond_, Each.Quota_.Burst_});
  Core_.Quotas_.setQuotas(std::move(Limits), Context.now());
}

void QuotaGuard::updateMembers() {
  std::vector<quotas::QuotaMember> Running;
  for (const fleet::MemberInfo &Each : Core_.Fleet_.listRunningMembers())
    Running.push_back({Each.Name_, Each.Incarnation_, Each.Address_});
  Core_.Quotas_.setMembers(std::move(Running), Core_.Fleet_.fleetSize());
}

quotas::QuotaVerdict QuotaGuard::request(const EventContext &Context,
                                         calls::Call &Call) {
  const calls::CallRequest &Request = Call.Request_;
  if (!Request.Workspace_ || Request.IsFromPeer_)
    return quotas::QuotaVerdict::Admitted;
  const framework::WorkspaceName &Name =
      Core_.Environment_.workspaceName(*Request.Workspace_);
  const document::Workspace *Workspace = Core_.Environment_.findWorkspace(Name);
  if (!Workspace || !Workspace->Quota_.isLimited())
    return quotas::QuotaVerdict::Admitted;
  const quotas::QuotaAnswer Answer =
      Core_.Quotas_.request(Name, Request.Call_, Context.now());
  Call.HoldsQuotaCredit_ = Answer.Verdict_ == quotas::QuotaVerdict::Admitted;
  Call.NextCreditIn_ = Answer.NextCreditIn_;
  if (Answer.Verdict_ == quotas::QuotaVerdict::Pending)
    Call.State_ = calls::CallState::AwaitingQuota;
  return Answer.Verdict_;
}

std::optional<framework::InstanceName>
QuotaGuard::findUntrustedSender(const fleet::PeerMessage &Message) const {
  const auto Find =
      [&](const auto *Item) -> std::optional<framework::InstanceName> {
    if (!Item || Core_.Fleet_.isTrustedPeer(Item->From_, Item->Incarnation_))
      return std::nullopt;
    return Item->From_;
  };
  if (const auto Sender = Find(std::get_if<quotas::QuotaRequest>(&Message)))
    return Sender;
  return Find(std::get_if<quotas::QuotaGrant>(&Message));
}

bool QuotaGuard::tryHandle(const EventContext &Context,
                           const fleet::PeerMessage &Message) {
  if (const auto *Request = std::get_if<quotas::QuotaRequest>(&Message)) {
    Core_.Quotas_.handle(*Request, Context.now());
    return true;
  }
  if (const auto *Grant = std::get_if<quotas::QuotaGrant>(&Message)) {
    Core_.Quotas_.handle(*Grant, Context.now());
    return true;
  }
  return false;
}

void QuotaGuard::tick(const EventContext &Context) {
  if (Context.now() >= nextWakeUp())
    Core_.Quotas_.tick(Context.now());
}

framework::Instant QuotaGuard::nextWakeUp() const {
  return Core_.Quotas_.nextWakeUp().value_or(framework::Instant::max());
}

void QuotaGuard::sendMessages(const EventContext &Context) {
  const quotas::QuotaCounters &Counters = Core_.Quotas_.counters();
  Core_.Counters_.CallsOverQuota_ = Counters.Refused_;
  Core_.Counters_.QuotaRequestsUnanswered_ = Counters.RequestsUnanswered_;
  Core_.Counters_.QuotaMessagesRejected_ = Counters.MessagesRejected_;
  for (quotas::QuotaMessage &Each : Core_.Quotas_.takeMessages())
    std::visit(
        [&](auto &Content) {
          Context.Output_.push_back(
              SendPeerMessage{Each.Address_, std::move(Content)});
        },
        Each.Content_);
}

std::vector<framework::CallId> QuotaGuard::takeDecidedCalls() {
  std::vector<framework::CallId> Decided;
  for (const quotas::QuotaDecision &Each : Core_.Quotas_.takeDecisions()) {
    calls::Call *Call = Core_.Calls_.find(Each.Call_);
    if (!Call)
      continue;
    Call->HoldsQuotaCredit_ = Each.IsAdmitted_;
    Call->NextCreditIn_ = Each.NextCreditIn_;
    Decided.push_back(Each.Call_);
  }
  return Decided;
}

} // namespace cranberryspool::decision
