#include "entry/internal/targetconnectionpool.h"

#include "entry/internal/listen.h"
#include "entry/internal/probeconnection.h"
#include "framework/runtime/clocks.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using framework::ConnectionId;

namespace {

constexpr std::chrono::milliseconds SweepInterval{100};
constexpr std::chrono::milliseconds BudgetRetryInterval{5};
/// The largest part of the budget of responses that is kept free for the
/// connection that has waited longest.
constexpr std::size_t KeptFreeDivisor = 4;

} // namespace

TargetConnectionPool::TargetConnectionPool(net::io_context &Io,
                                           const EntryLimits &Limits,
                                           WorkerMailboxes &Mailboxes,
                                           InstanceState &State)
    : Io_(Io), Limits_(Limits), Mailboxes_(Mailboxes), State_(State),
      Dispatch_(Io, Mailboxes.Dispatch_), SweepTimer_(Io),
      BudgetRetryTimer_(Io) {
  Mailboxes_.Targets_.attach(
      Io, [this](TargetCommand &Command) { onCommand(Command); });
  scheduleSweep();
}

TargetConnectionPool::~TargetConnectionPool() { Mailboxes_.Targets_.detach(); }

framework::Instant TargetConnectionPool::now() const {
  return framework::readMoment().Monotonic_;
}

void TargetConnectionPool::postEvent(
    decision::Event Event, std::shared_ptr<const TargetResponse> Response) {
  DispatchInput Input;
  Input.Event_ = std::move(Event);
  Input.Response_ = std::move(Response);
  Dispatch_.send(std::move(Input));
}

void TargetConnectionPool::remove(ConnectionId Connection) {
  stopWaiting(Connection);
  Connections_.erase(Connection);
}

bool TargetConnectionPool::tryReserveBody(
    ConnectionId Connection, framework::ByteReservation &Reservation,
    std::size_t Bytes) {
  const bool IsFirst =
      !WaitingForBudget_.empty() && WaitingForBudget_.front() == Connection;
  const std::size_t KeptFree = std::min(
      Limits_.BodyBytes_, State_.ResponseBytes_.limit() / KeptFreeDivisor);
  if (Reservation.tryGrow(State_.ResponseBytes_, Bytes, IsFirst ? 0 : KeptFree))
    return true;
  awaitBudget(Connection);
  return false;
}

void TargetConnectionPool::stopWaiting(ConnectionId Connection) {
  std::erase(WaitingForBudget_, Connection);
}

void TargetConnectionPool::awaitBudget(ConnectionId Connection) {
  if (std::find(WaitingForBudget_.begin(), WaitingForBudget_.end(),
                Connection) == WaitingForBudget_.end())
    WaitingForBudget_.push_back(Connection);
  if (std::exchange(IsRetryScheduled_, true))
    return;
  BudgetRetryTimer_.expires_after(BudgetRetryInterval);
  BudgetRetryTimer_.async_wait([this](const error_code &Error) {
    if (!Error)
      retryWaitingConnections();
  });
}

void TargetConnectionPool::retryWaitingConnections() {
  IsRetryScheduled_ = false;
  const std::vector<ConnectionId> Waiting = WaitingForBudget_;
  for (const ConnectionId Each : Waiting) {
    const auto Found = Connections_.find(Each);
    if (Found == Connections_.end())
      continue;
    const auto Connection = Found->second;
    Connection->retryRead();
  }
}

void TargetConnectionPool::onCommand(TargetCommand &Command) {
  std::visit([this](auto &Alternative) { execute(Alternative); }, Command);
}

void TargetConnectionPool::execute(const decision::OpenConnection &Command) {
  const auto Remote = parseEndpoint(Command.Address_);
  if (!Remote) {
    postEvent(decision::ConnectionClosed{Command.Connection_});
    return;
  }
  auto Connection = std::make_shared<TargetConnection>(Command, *this);
  Connections_.emplace(Command.Connection_, Connection);
  Connection->connect(toTcp(Remote.value()));
}

void TargetConnectionPool::execute(const decision::CloseConnection &Command) {
  const auto Found = Connections_.find(Command.Connection_);
  if (Found == Connections_.end())
    return;
  const auto Connection = Found->second;
  Connection->closeSilently();
}

void TargetConnectionPool::execute(const decision::ProbeTarget &Command) {
  auto &Probe = Probes_[Command.Target_];
  if (!Probe)
    Probe = std::make_shared<ProbeConnection>(*this);
  Probe->send(Command);
}

void TargetConnectionPool::execute(SendRequest &Command) {
  const auto Found = Connections_.find(Command.Attempt_.Connection_);
  if (Found != Connections_.end()) {
    Found->second->send(std::move(Command));
    return;
  }
  // The connection was closed while the command was queued: no byte of the
  // attempt was written.
  decision::AttemptFailed Failed;
  Failed.Attempt_ = Command.Attempt_.Attempt_;
  Failed.Connection_ = Command.Attempt_.Connection_;
  Failed.Written_ = calls::WriteState::NothingWritten;
  postEvent(Failed);
}

void TargetConnectionPool::scheduleSweep() {
  SweepTimer_.expires_after(SweepInterval);
  SweepTimer_.async_wait([this](const error_code &Error) {
    if (!Error)
      sweep();
  });
}

void TargetConnectionPool::sweep() {
  const framework::Instant Now = now();
  std::vector<std::shared_ptr<TargetConnection>> OpenConnections;
  OpenConnections.reserve(Connections_.size());
  for (const auto &[Number, Connection] : Connections_)
    OpenConnections.push_back(Connection);
  for (const auto &Connection : OpenConnections)
    Connection->closeIfTimedOut(Now);
  scheduleSweep();
}

} // namespace cranberryspool::entry
