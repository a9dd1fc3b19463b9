#include "quotas/quotacoordinator.h"

#include "quotas/internal/coordinatorstate.h"

#include <utility>

namespace cranberryspool::quotas {

using framework::Instant;

QuotaCoordinator::QuotaCoordinator(QuotaSettings Settings,
                                   framework::Random Rng)
    : State_(std::make_unique<CoordinatorState>(std::move(Settings), Rng)) {}

QuotaCoordinator::~QuotaCoordinator() = default;
QuotaCoordinator::QuotaCoordinator(QuotaCoordinator &&) noexcept = default;
QuotaCoordinator &
QuotaCoordinator::operator=(QuotaCoordinator &&) noexcept = default;

void QuotaCoordinator::setQuotas(std::vector<WorkspaceLimit> Limits,
                                 Instant Now) {
  State_->setQuotas(std::move(Limits), Now);
}

void QuotaCoordinator::setMembers(std::vector<QuotaMember> Running,
                                  std::size_t KnownCount) {
  State_->setMembers(std::move(Running), KnownCount);
}

QuotaAnswer QuotaCoordinator::request(const framework::WorkspaceName &Workspace,
                                      framework::CallId Call, Instant Now) {
  return State_->request(Workspace, Call, Now);
}

void QuotaCoordinator::cancel(framework::CallId Call) { State_->cancel(Call); }

void QuotaCoordinator::giveBack(const framework::WorkspaceName &Workspace,
                                Instant Now) {
  State_->giveBack(Workspace, Now);
}

void QuotaCoordinator::handle(const QuotaRequest &Message, Instant Now) {
  State_->handle(Message, Now);
}

void QuotaCoordinator::handle(const QuotaGrant &Message, Instant Now) {
  State_->handle(Message, Now);
}

void QuotaCoordinator::tick(Instant Now) { State_->tick(Now); }

std::optional<Instant> QuotaCoordinator::nextWakeUp() const {
  return State_->nextWakeUp();
}

std::vector<QuotaMessage> QuotaCoordinator::takeMessages() {
  return State_->takeMessages();
}

std::vector<QuotaDecision> QuotaCoordinator::takeDecisions() {
  return State_->takeDecisions();
}

const QuotaCounters &QuotaCoordinator::counters() const {
  return State_->counters();
}

std::size_t QuotaCoordinator::activeWorkspaceCount() const {
  return State_->activeCount();
}

} // namespace cranberryspool::quotas
