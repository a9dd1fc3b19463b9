#include "calls/connectionpool.h"

#include <algorithm>

namespace cranberryspool::calls {

void ConnectionPool::setLimit(framework::TargetId Target, std::uint32_t Limit) {
  at(Target).Limit_ = Limit;
}

std::optional<framework::ConnectionId>
ConnectionPool::mostRecentIdle(framework::TargetId Target,
                               framework::Instant AliveSince) const {
  const PerTarget *Own = get(Target);
  if (!Own || Own->Idle_.empty())
    return std::nullopt;
  const framework::ConnectionId Id = Own->Idle_.back();
  if (Connections_.at(Id).LastActivity_ < AliveSince)
    return std::nullopt;
  return Id;
}

void ConnectionPool::assign(framework::ConnectionId Id,
                            framework::AttemptId Attempt) {
  Connection &Conn = Connections_.at(Id);
  leaveState(Conn);
  Conn.State_ = ConnectionState::Busy;
  Conn.CurrentAttempt_ = Attempt;
}

bool ConnectionPool::mayOpen(framework::TargetId Target) const {
  const PerTarget *Own = get(Target);
  return Own && Own->Total_ < Own->Limit_;
}

bool ConnectionPool::isOpening(framework::TargetId Target) const {
  const PerTarget *Own = get(Target);
  return Own && Own->Opening_ > 0;
}

framework::ConnectionId ConnectionPool::open(framework::TargetId Target,
                                             framework::Instant Now) {
  const framework::ConnectionId Id(++LastId_);
  Connections_.emplace(Id, Connection{.Connection_ = Id,
                                      .Target_ = Target,
                                      .State_ = ConnectionState::Opening,
                                      .CurrentAttempt_ = std::nullopt,
                                      .LastActivity_ = Now,
                                      .OpenedAt_ = Now});
  PerTarget &Own = at(Target);
  ++Own.Total_;
  ++Own.Opening_;
  return Id;
}

void ConnectionPool::markIdle(framework::ConnectionId Id,
                              framework::Instant Now) {
  Connection &Conn = Connections_.at(Id);
  leaveState(Conn);
  Conn.State_ = ConnectionState::Idle;
  Conn.CurrentAttempt_.reset();
  Conn.LastActivity_ = Now;
  at(Conn.Target_).Idle_.push_back(Id);
  ++IdleCounts_[Conn.Target_.value()];
}

void ConnectionPool::recordActivity(framework::ConnectionId Id,
                                    framework::Instant Now) {
  const auto Position = Connections_.find(Id);
  if (Position != Connections_.end())
    Position->second.LastActivity_ = Now;
}

void ConnectionPool::remove(framework::ConnectionId Id) {
  const auto Position = Connections_.find(Id);
  if (Position == Connections_.end())
    return;
  leaveState(Position->second);
  --at(Position->second.Target_).Total_;
  Connections_.erase(Position);
}

const Connection *ConnectionPool::find(framework::ConnectionId Id) const {
  const auto Position = Connections_.find(Id);
  return Position == Connections_.end() ? nullptr : &Position->second;
}

std::vector<framework::ConnectionId>
ConnectionPool::idleBefore(framework::TargetId Target,
                           framework::Instant Before) const {
  std::vector<framework::ConnectionId> Found;
  const PerTarget *Own = get(Target);
  if (!Own)
    return Found;
  for (const framework::ConnectionId Id : Own->Idle_)
    if (Connections_.at(Id).LastActivity_ < Before)
      Found.push_back(Id);
  return Found;
}

void ConnectionPool::addWaiter(framework::TargetId Target,
                               framework::AttemptId Waiter) {
  at(Target).Waiters_.push_back(Waiter);
}

void ConnectionPool::removeWaiter(framework::TargetId Target,
                                  framework::AttemptId Waiter) {
  std::erase(at(Target).Waiters_, Waiter);
}

std::optional<framework::AttemptId>
ConnectionPool::takeWaiter(framework::TargetId Target) {
  PerTarget &Own = at(Target);
  if (Own.Waiters_.empty())
    return std::nullopt;
  const framework::AttemptId Waiter = Own.Waiters_.front();
  Own.Waiters_.pop_front();
  return Waiter;
}

std::uint32_t ConnectionPool::connectionsToOpen(framework::TargetId Target,
                                                std::uint32_t Spare) const {
  const PerTarget *Own = get(Target);
  if (!Own || Own->Total_ >= Own->Limit_)
    return 0;
  const std::size_t Wanted = Own->Waiters_.size() + Spare;
  const std::size_t Coming = Own->Opening_ + Own->Idle_.size();
  if (Coming >= Wanted)
    return 0;
  const std::size_t Room = Own->Limit_ - Own->Total_;
  return static_cast<std::uint32_t>(std::min(Wanted - Coming, Room));
}

std::uint32_t ConnectionPool::count(framework::TargetId Target) const {
  const PerTarget *Own = get(Target);
  return Own ? Own->Total_ : 0;
}

ConnectionPool::PerTarget &ConnectionPool::at(framework::TargetId Target) {
  if (Target.value() >= Targets_.size())
    Targets_.resize(Target.value() + 1);
  IdleCounts_.resize(Targets_.size(), 0);
  return Targets_[Target.value()];
}

const ConnectionPool::PerTarget *
ConnectionPool::get(framework::TargetId Target) const {
  if (Target.value() >= Targets_.size())
    return nullptr;
  return &Targets_[Target.value()];
}

void ConnectionPool::leaveState(const Connection &Conn) {
  PerTarget &Own = at(Conn.Target_);
  if (Conn.State_ == ConnectionState::Opening)
    --Own.Opening_;
  if (Conn.State_ != ConnectionState::Idle)
    return;
  std::erase(Own.Idle_, Conn.Connection_);
  --IdleCounts_[Conn.Target_.value()];
}

} // namespace cranberryspool::calls
