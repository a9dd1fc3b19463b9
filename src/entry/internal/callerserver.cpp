#include "entry/internal/callerserver.h"

#include "framework/runtime/clocks.h"

#include <boost/asio/error.hpp>

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using framework::CallId;
using net::ip::tcp;

namespace {

constexpr std::chrono::milliseconds SweepInterval{100};
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

CallerServer::CallerServer(net::io_context &Io, tcp::acceptor Acceptor,
                           std::optional<tcp::acceptor> PeerAcceptor,
                           const EntryLimits &Limits,
                           framework::CallId FirstCall,
                           WorkerMailboxes &Mailboxes, InstanceState &State,
                           std::function<void()> OnAllClosed)
    : Io_(Io), Acceptor_(std::move(Acceptor)),
      PeerAcceptor_(std::move(PeerAcceptor)), Limits_(Limits),
      Mailboxes_(Mailboxes), State_(State),
      OnAllClosed_(std::move(OnAllClosed)), Dispatch_(Io, Mailboxes.Dispatch_),
      SweepTimer_(Io), NextCall_(FirstCall.value()) {
  Mailboxes_.Callers_.attach(
      Io, [this](CallerCommand &Command) { onCommand(Command); });
  acceptNext(Acceptor_, CallerKind::Caller);
  if (PeerAcceptor_)
    acceptNext(*PeerAcceptor_, CallerKind::Peer);
  scheduleSweep();
}

CallerServer::~CallerServer() { Mailboxes_.Callers_.detach(); }

framework::Instant CallerServer::now() const {
  return framework::readMoment().Monotonic_;
}

std::optional<CallId> CallerServer::accept(std::uint64_t Session,
                                           decision::CallArrived Arrival,
                                           CallerRequest Request) {
  const CallId Call(NextCall_);
  Arrival.Call_ = Call;
  DispatchInput Input;
  Input.Event_ = std::move(Arrival);
  Input.Request_ = std::make_shared<const CallerRequest>(std::move(Request));
  if (Dispatch_.pending() > 0 || !Mailboxes_.Dispatch_.tryPush(Input))
    return std::nullopt;
  ++NextCall_;
  SessionOfCall_.emplace(Call, Session);
  return Call;
}

void CallerServer::reportCallerGone(CallId Call) {
  SessionOfCall_.erase(Call);
  DispatchInput Input;
  Input.Event_ = decision::CallerGone{Call};
  Dispatch_.send(std::move(Input));
}

void CallerServer::reportRefused(RefusedRequest Refused) {
  DispatchInput Input;
  Input.Refused_ = std::move(Refused);
  if (Dispatch_.pending() == 0)
    Mailboxes_.Dispatch_.tryPush(Input);
}

void CallerServer::remove(std::uint64_t Session) {
  Sessions_.erase(Session);
  reportClosedIfDone();
}

void CallerServer::acceptNext(tcp::acceptor &Acceptor, CallerKind Kind) {
  Acceptor.async_accept(Io_, [this, &Acceptor, Kind](const error_code &Error,
                                                     tcp::socket Socket) {
    onAccepted(Acceptor, Kind, Error, std::move(Socket));
  });
}

void CallerServer::onAccepted(tcp::acceptor &Acceptor, CallerKind Kind,
                              const error_code &Error, tcp::socket Socket) {
  if (IsClosing_ || Error == net::error::operation_aborted)
    return;
  if (Error) {
    // Most likely the process is out of file descriptors: wait until some are
    // closed.
    auto Timer = std::make_shared<net::steady_timer>(Io_, AcceptRetryDelay);
    Timer->async_wait([this, &Acceptor, Kind, Timer](const error_code &) {
      acceptNext(Acceptor, Kind);
    });
    return;
  }
  if (Sessions_.size() < Limits_.CallerConnections_) {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const std::uint64_t Number = ++LastSession_;
    auto Session =
        std::make_shared<CallerSession>(std::move(Socket), Number, *this, Kind);
    Sessions_.emplace(Number, Session);
    Session->start();
  }
  acceptNext(Acceptor, Kind);
}

void CallerServer::scheduleSweep() {
  SweepTimer_.expires_after(SweepInterval);
  SweepTimer_.async_wait([this](const error_code &Error) {
    if (!Error)
      sweep();
  });
}

void CallerServer::sweep() {
  const framework::Instant Now = now();
  std::vector<std::shared_ptr<CallerSession>> OpenSessions;
  OpenSessions.reserve(Sessions_.size());
  for (const auto &[Number, Session] : Sessions_)
    OpenSessions.push_back(Session);
  for (const auto &Session : OpenSessions)
    Session->closeIfTimedOut(Now);
  scheduleSweep();
}

void CallerServer::onCommand(CallerCommand &Command) {
  std::visit([this](auto &Alternative) { execute(Alternative); }, Command);
}

void CallerServer::execute(SendResponse &Command) {
  if (const auto Session = takeSession(Command.Call_))
    Session->sendResponse(Command.Call_, std::move(Command.Response_));
}

void CallerServer::execute(const decision::RefuseCall &Command) {
  if (const auto Session = takeSession(Command.Call_))
    Session->sendRefusal(Command);
}

void CallerServer::execute(const DrainCallers &) { IsDraining_ = true; }

void CallerServer::execute(const CloseCallers &) {
  IsDraining_ = true;
  IsClosing_ = true;
  error_code Ignored;
  Acceptor_.cancel(Ignored);
  if (PeerAcceptor_)
    PeerAcceptor_->cancel(Ignored);
  std::vector<std::shared_ptr<CallerSession>> OpenSessions;
  for (const auto &[Number, Session] : Sessions_)
    OpenSessions.push_back(Session);
  for (const auto &Session : OpenSessions)
    Session->closeWhenIdle();
  reportClosedIfDone();
}

std::shared_ptr<CallerSession> CallerServer::takeSession(CallId Call) {
  const auto Found = SessionOfCall_.find(Call);
  if (Found == SessionOfCall_.end())
    return nullptr;
  const auto Session = Sessions_.find(Found->second);
  SessionOfCall_.erase(Found);
  return Session == Sessions_.end() ? nullptr : Session->second;
}

void CallerServer::reportClosedIfDone() {
  if (IsClosing_ && Sessions_.empty())
    OnAllClosed_();
}

} // namespace cranberryspool::entry
