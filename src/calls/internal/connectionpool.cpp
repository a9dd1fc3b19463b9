#include "calls/connectionpool.h"

#include <algorithm>

namespace cranberryspool::calls {

void ConnectionPool::setLimit(framework::TargetId Target, std::uint32_t Limit) {
  entry(Target).Limit_ = Limit;
}

std::optional<framework::ConnectionId>
ConnectionPool::mostRecentIdle(framework::TargetId Target,
                               framework::Instant ActiveSince) const {
  const TargetConnections *Entry = findEntry(Target);
  if (!Entry || Entry->Idle_.empty())
    return std::nullopt;
  const framework::ConnectionId Id = Entry->Idle_.back();
  if (Connections_.at(Id).LastActivity_ < ActiveSince)
    return std::nullopt;
  return Id;
}

void ConnectionPool::assign(framework::ConnectionId Id,
                            framework::AttemptId Attempt) {
  Connection &Conn = Connections_.at(Id);
  removeFromState(Conn);
  Conn.State_ = ConnectionState::Busy;
  Conn.CurrentAttempt_ = Attempt;
}

bool ConnectionPool::mayOpen(framework::TargetId Target) const {
  const TargetConnections *Entry = findEntry(Target);
  return Entry && Entry->Total_ < Entry->Limit_;
}

bool ConnectionPool::isOpening(framework::TargetId Target) const {
  const TargetConnections *Entry = findEntry(Target);
  return Entry && Entry->Opening_ > 0;
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
  TargetConnections &Entry = entry(Target);
  ++Entry.Total_;
  ++Entry.Opening_;
  return Id;
}

void ConnectionPool::markIdle(framework::ConnectionId Id,
                              framework::Instant Now) {
  Connection &Conn = Connections_.at(Id);
  removeFromState(Conn);
  Conn.State_ = ConnectionState::Idle;
  Conn.CurrentAttempt_.reset();
  Conn.LastActivity_ = Now;
  entry(Conn.Target_).Idle_.push_back(Id);
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
  removeFromState(Position->second);
  --entry(Position->second.Target_).Total_;
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
  const TargetConnections *Entry = findEntry(Target);
  if (!Entry)
    return Found;
  for (const framework::ConnectionId Id : Entry->Idle_)
    if (Connections_.at(Id).LastActivity_ < Before)
      Found.push_back(Id);
  return Found;
}

void ConnectionPool::addWaiter(framework::TargetId Target,
                               framework::AttemptId Waiter) {
  entry(Target).Waiters_.push_back(Waiter);
}

void ConnectionPool::removeWaiter(framework::TargetId Target,
                                  framework::AttemptId Waiter) {
  std::erase(entry(Target).Waiters_, Waiter);
}

std::optional<framework::AttemptId>
ConnectionPool::takeWaiter(framework::TargetId Target) {
  TargetConnections &Entry = entry(Target);
  if (Entry.Waiters_.empty())
    return std::nullopt;
  const framework::AttemptId Waiter = Entry.Waiters_.front();
  Entry.Waiters_.pop_front();
  return Waiter;
}

std::uint32_t ConnectionPool::connectionsToOpen(framework::TargetId Target,
                                                std::uint32_t Spare) const {
  const TargetConnections *Entry = findEntry(Target);
  if (!Entry || Entry->Total_ >= Entry->Limit_)
    return 0;
  const std::size_t Needed = Entry->Waiters_.size() + Spare;
  const std::size_t Available = Entry->Opening_ + Entry->Idle_.size();
  if (Available >= Needed)
    return 0;
  const std::size_t Remaining = Entry->Limit_ - Entry->Total_;
  return static_cast<std::uint32_t>(std::min(Needed - Available, Remaining));
}

std::uint32_t ConnectionPool::count(framework::TargetId Target) const {
  const TargetConnections *Entry = findEntry(Target);
  return Entry ? Entry->Total_ : 0;
}

std::uint32_t ConnectionPool::openCount(framework::TargetId Target) const {
  const TargetConnections *Entry = findEntry(Target);
  return Entry ? Entry->Total_ - Entry->Opening_ : 0;
}

ConnectionPool::TargetConnections &
ConnectionPool::entry(framework::TargetId Target) {
  if (Target.value() >= Targets_.size())
    Targets_.resize(Target.value() + 1);
  IdleCounts_.resize(Targets_.size(), 0);
  return Targets_[Target.value()];
}

const ConnectionPool::TargetConnections *
ConnectionPool::findEntry(framework::TargetId Target) const {
  if (Target.value() >= Targets_.size())
    return nullptr;
  return &Targets_[Target.value()];
}

void ConnectionPool::removeFromState(const Connection &Conn) {
  TargetConnections &Entry = entry(Conn.Target_);
  if (Conn.State_ == ConnectionState::Opening)
    --Entry.Opening_;
  if (Conn.State_ != ConnectionState::Idle)
    return;
  std::erase(Entry.Idle_, Conn.Connection_);
  --IdleCounts_[Conn.Target_.value()];
}

} // namespace cranberryspool::calls
