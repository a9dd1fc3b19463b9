#include "decision/internal/connectionkeeper.h"

#include <algorithm>
#include <vector>

namespace cranberryspool::decision {

void ConnectionKeeper::close(const Step &At, framework::ConnectionId Id) {
  Parts_.Connections_.remove(Id);
  At.Output_.push_back(CloseConnection{Id});
}

void ConnectionKeeper::openForWaiters(const Step &At,
                                      framework::TargetId Target) {
  const std::uint32_t Missing =
      Parts_.Connections_.connectionsToOpen(Target, 0);
  for (std::uint32_t Count = 0; Count < Missing; ++Count)
    open(At, Target);
}

void ConnectionKeeper::openFresh(const Step &At, framework::TargetId Target) {
  if (!Parts_.Connections_.mayOpen(Target)) {
    const auto Idle = Parts_.Connections_.idleBefore(
        Target, At.now() - Parts_.Calling_.AliveWithin_);
    if (Idle.empty())
      return;
    close(At, Idle.front());
  }
  open(At, Target);
}

void ConnectionKeeper::closeIdleBefore(const Step &At,
                                       framework::TargetId Target,
                                       framework::Instant Before) {
  for (const framework::ConnectionId Id :
       Parts_.Connections_.idleBefore(Target, Before))
    close(At, Id);
}

void ConnectionKeeper::tend(const Step &At) {
  closeIdle(At);
  openSpares(At);
  if (Parts_.Calling_.AreFreshKept_)
    refreshSpares(At);
}

void ConnectionKeeper::openSpares(const Step &At) {
  std::uint32_t Room = Parts_.Calling_.MaxOpensPerRound_;
  for (const routing::TargetDescription &Target :
       Parts_.Environment_.targets()) {
    if (Target.IsLeaving_)
      continue;
    const std::uint32_t Missing =
        std::min(Room, Parts_.Connections_.connectionsToOpen(
                           Target.Target_, Parts_.Calling_.SpareConnections_));
    for (std::uint32_t Count = 0; Count < Missing; ++Count)
      open(At, Target.Target_);
    Room -= Missing;
  }
}

void ConnectionKeeper::refreshSpares(const Step &At) {
  const CallSettings &Settings = Parts_.Calling_;
  // Renewed before it gets too old, so that a fit one is always there.
  const framework::Instant AliveSince = At.now() - Settings.AliveWithin_ / 2;
  for (const auto &[Target, NeededAt] : FreshNeededAt_) {
    if (NeededAt + Settings.MaxIdle_ < At.now())
      continue;
    if (!Parts_.Environment_.takesWork(Target))
      continue;
    if (Parts_.Connections_.mostRecentIdle(Target, AliveSince) ||
        Parts_.Connections_.isOpening(Target))
      continue;
    openFresh(At, Target);
  }
}

void ConnectionKeeper::open(const Step &At, framework::TargetId Target) {
  const framework::ConnectionId Id = Parts_.Connections_.open(Target, At.now());
  At.Output_.push_back(
      OpenConnection{Id, Target, Parts_.Environment_.address(Target)});
  ++Parts_.Counters_.ConnectionsOpened_;
}

void ConnectionKeeper::closeIdle(const Step &At) {
  std::vector<framework::ConnectionId> Unused;
  for (const auto &[Id, Conn] : Parts_.Connections_.connections()) {
    if (Conn.State_ == calls::ConnectionState::Idle &&
        Conn.LastActivity_ + Parts_.Calling_.MaxIdle_ < At.now())
      Unused.push_back(Id);
  }
  for (const framework::ConnectionId Id : Unused)
    close(At, Id);
}

} // namespace cranberryspool::decision
