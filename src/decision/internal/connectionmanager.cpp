#include "decision/internal/connectionmanager.h"

#include <algorithm>
#include <vector>

namespace cranberryspool::decision {

void ConnectionManager::close(const EventContext &Context,
                              framework::ConnectionId Id) {
  Core_.Connections_.remove(Id);
  Context.Output_.push_back(CloseConnection{Id});
}

void ConnectionManager::openForWaiters(const EventContext &Context,
                                       framework::TargetId Target) {
  const std::uint32_t Missing = Core_.Connections_.connectionsToOpen(Target, 0);
  for (std::uint32_t Count = 0; Count < Missing; ++Count)
    open(Context, Target);
}

void ConnectionManager::openNew(const EventContext &Context,
                                framework::TargetId Target) {
  if (!Core_.Connections_.mayOpen(Target)) {
    const auto Idle = Core_.Connections_.idleBefore(
        Target, Context.now() - Core_.CallSettings_.MaxActivityAge_);
    if (Idle.empty())
      return;
    close(Context, Idle.front());
  }
  open(Context, Target);
}

void ConnectionManager::closeIdleBefore(const EventContext &Context,
                                        framework::TargetId Target,
                                        framework::Instant Before) {
  for (const framework::ConnectionId Id :
       Core_.Connections_.idleBefore(Target, Before))
    close(Context, Id);
}

void ConnectionManager::maintain(const EventContext &Context) {
  closeIdle(Context);
  openSpares(Context);
  if (Core_.CallSettings_.IsActiveSpareKept_)
    renewSpares(Context);
}

void ConnectionManager::openSpares(const EventContext &Context) {
  std::uint32_t Remaining = Core_.CallSettings_.MaxOpensPerMaintenance_;
  for (const routing::TargetDescription &Target :
       Core_.Environment_.targets()) {
    if (Target.IsLeaving_)
      continue;
    const std::uint32_t Spares = Core_.Targets_.isAvoided(Target.Target_)
                                     ? 0
                                     : Core_.CallSettings_.SpareConnections_;
    const std::uint32_t Missing =
        std::min(Remaining,
                 Core_.Connections_.connectionsToOpen(Target.Target_, Spares));
    for (std::uint32_t Count = 0; Count < Missing; ++Count)
      open(Context, Target.Target_);
    Remaining -= Missing;
  }
}

void ConnectionManager::renewSpares(const EventContext &Context) {
  const CallSettings &Settings = Core_.CallSettings_;
  // The connection is renewed at half the maximum age, so that a recently
  // active one is always available.
  const framework::Instant ActiveSince =
      Context.now() - Settings.MaxActivityAge_ / 2;
  for (const auto &[Target, LastRequestAt] : LastNonIdempotentAt_) {
    if (LastRequestAt + Settings.MaxIdleTime_ < Context.now())
      continue;
    if (!Core_.Environment_.acceptsWork(Target) ||
        Core_.Targets_.isAvoided(Target))
      continue;
    if (Core_.Connections_.mostRecentIdle(Target, ActiveSince) ||
        Core_.Connections_.isOpening(Target))
      continue;
    openNew(Context, Target);
  }
}

void ConnectionManager::open(const EventContext &Context,
                             framework::TargetId Target) {
  const framework::ConnectionId Id =
      Core_.Connections_.open(Target, Context.now());
  Context.Output_.push_back(
      OpenConnection{Id, Target, Core_.Environment_.address(Target)});
  ++Core_.Counters_.ConnectionsOpened_;
}

void ConnectionManager::closeIdle(const EventContext &Context) {
  std::vector<framework::ConnectionId> Unused;
  for (const auto &[Id, Connection] : Core_.Connections_.connections()) {
    if (Connection.State_ == calls::ConnectionState::Idle &&
        Connection.LastActivity_ + Core_.CallSettings_.MaxIdleTime_ <
            Context.now())
      Unused.push_back(Id);
  }
  for (const framework::ConnectionId Id : Unused)
    close(Context, Id);
}

} // namespace cranberryspool::decision
