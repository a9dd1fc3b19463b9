#include "entry/internal/targetconnections.h"

#include "entry/internal/listen.h"
#include "entry/internal/probeconnection.h"
#include "framework/runtime/clocks.h"

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using framework::ConnectionId;

namespace {

constexpr std::chrono::milliseconds SweepInterval{100};
constexpr std::chrono::milliseconds BudgetInterval{5};

} // namespace

TargetConnections::TargetConnections(net::io_context &Io,
                                     const EntryLimits &Limits,
                                     Mailboxes &Rings, InstanceState &Shared)
    : Io_(Io), Limits_(Limits), Rings_(Rings), Shared_(Shared),
      Dispatch_(Io, Rings.Dispatch_), SweepTimer_(Io), BudgetTimer_(Io) {
  Rings_.Targets_.attach(
      Io, [this](TargetCommand &Command) { onCommand(Command); });
  sweepLater();
}

TargetConnections::~TargetConnections() { Rings_.Targets_.detach(); }

framework::Instant TargetConnections::now() const {
  return framework::readMoment().Monotonic_;
}

void TargetConnections::tell(decision::Event Event,
                             std::shared_ptr<const TargetAnswer> Answer) {
  DispatchInput Input;
  Input.Event_ = std::move(Event);
  Input.Answer_ = std::move(Answer);
  Dispatch_.send(std::move(Input));
}

void TargetConnections::remove(ConnectionId Connection) {
  Connections_.erase(Connection);
}

void TargetConnections::waitForBudget(ConnectionId Connection) {
  WaitingForBudget_.push_back(Connection);
  if (WaitingForBudget_.size() > 1)
    return;
  BudgetTimer_.expires_after(BudgetInterval);
  BudgetTimer_.async_wait([this](const error_code &Error) {
    if (!Error)
      retryWaiting();
  });
}

void TargetConnections::retryWaiting() {
  for (const ConnectionId Waiting :
       std::exchange(WaitingForBudget_, std::vector<ConnectionId>())) {
    const auto Position = Connections_.find(Waiting);
    if (Position == Connections_.end())
      continue;
    const auto Kept = Position->second;
    Kept->retryBody();
  }
}

void TargetConnections::onCommand(TargetCommand &Command) {
  std::visit([this](auto &One) { carryOut(One); }, Command);
}

void TargetConnections::carryOut(const decision::OpenConnection &Command) {
  const auto Where = parseEndpoint(Command.Address_);
  if (!Where) {
    tell(decision::ConnectionClosed{Command.Connection_});
    return;
  }
  auto Connection = std::make_shared<TargetConnection>(Command, *this);
  Connections_.emplace(Command.Connection_, Connection);
  Connection->open(toTcp(Where.value()));
}

void TargetConnections::carryOut(const decision::CloseConnection &Command) {
  const auto Position = Connections_.find(Command.Connection_);
  if (Position == Connections_.end())
    return;
  const auto Kept = Position->second;
  Kept->abandon();
}

void TargetConnections::carryOut(const decision::ProbeTarget &Command) {
  auto &Probe = Probes_[Command.Target_];
  if (!Probe)
    Probe = std::make_shared<ProbeConnection>(*this);
  Probe->ask(Command);
}

void TargetConnections::carryOut(SendRequest &Command) {
  const auto Position = Connections_.find(Command.Attempt_.Connection_);
  if (Position != Connections_.end()) {
    Position->second->send(std::move(Command));
    return;
  }
  // Closed while the order was on its way: no byte of the attempt was written.
  decision::AttemptFailed Failed;
  Failed.Attempt_ = Command.Attempt_.Attempt_;
  Failed.Connection_ = Command.Attempt_.Connection_;
  Failed.Written_ = calls::WriteState::NothingWritten;
  tell(Failed);
}

void TargetConnections::sweepLater() {
  SweepTimer_.expires_after(SweepInterval);
  SweepTimer_.async_wait([this](const error_code &Error) {
    if (!Error)
      sweep();
  });
}

void TargetConnections::sweep() {
  const framework::Instant Now = now();
  std::vector<std::shared_ptr<TargetConnection>> Open;
  Open.reserve(Connections_.size());
  for (const auto &[Number, Connection] : Connections_)
    Open.push_back(Connection);
  for (const auto &Connection : Open)
    Connection->closeIfOverdue(Now);
  sweepLater();
}

} // namespace cranberryspool::entry
