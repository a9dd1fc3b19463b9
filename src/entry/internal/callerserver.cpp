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
constexpr std::chrono::milliseconds AcceptPause{50};

} // namespace

CallerServer::CallerServer(net::io_context &Io, tcp::acceptor Acceptor,
                           const EntryLimits &Limits,
                           framework::CallId FirstCall, Mailboxes &Rings,
                           InstanceState &Shared,
                           std::function<void()> OnFinished)
    : Io_(Io), Acceptor_(std::move(Acceptor)), Limits_(Limits), Rings_(Rings),
      Shared_(Shared), OnFinished_(std::move(OnFinished)),
      Dispatch_(Io, Rings.Dispatch_), SweepTimer_(Io),
      NextCall_(FirstCall.value()) {
  Rings_.Callers_.attach(
      Io, [this](CallerCommand &Command) { onCommand(Command); });
  acceptNext();
  sweepLater();
}

CallerServer::~CallerServer() { Rings_.Callers_.detach(); }

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
  if (Dispatch_.pending() > 0 || !Rings_.Dispatch_.tryPush(Input))
    return std::nullopt;
  ++NextCall_;
  SessionOfCall_.emplace(Call, Session);
  return Call;
}

void CallerServer::noteGone(CallId Call) {
  SessionOfCall_.erase(Call);
  DispatchInput Input;
  Input.Event_ = decision::CallerGone{Call};
  Dispatch_.send(std::move(Input));
}

void CallerServer::remove(std::uint64_t Session) {
  Sessions_.erase(Session);
  finishIfDone();
}

void CallerServer::acceptNext() {
  Acceptor_.async_accept(Io_,
                         [this](const error_code &Error, tcp::socket Socket) {
                           onAccepted(Error, std::move(Socket));
                         });
}

void CallerServer::onAccepted(const error_code &Error, tcp::socket Socket) {
  if (IsFinishing_ || Error == net::error::operation_aborted)
    return;
  if (Error) {
    // Out of file descriptors, most likely: wait for some to be closed.
    auto Timer = std::make_shared<net::steady_timer>(Io_, AcceptPause);
    Timer->async_wait([this, Timer](const error_code &) { acceptNext(); });
    return;
  }
  if (Sessions_.size() < Limits_.CallerConnections_) {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    const std::uint64_t Number = ++LastSession_;
    auto Session =
        std::make_shared<CallerSession>(std::move(Socket), Number, *this);
    Sessions_.emplace(Number, Session);
    Session->start();
  }
  acceptNext();
}

void CallerServer::sweepLater() {
  SweepTimer_.expires_after(SweepInterval);
  SweepTimer_.async_wait([this](const error_code &Error) {
    if (!Error)
      sweep();
  });
}

void CallerServer::sweep() {
  const framework::Instant Now = now();
  std::vector<std::shared_ptr<CallerSession>> Open;
  Open.reserve(Sessions_.size());
  for (const auto &[Number, Session] : Sessions_)
    Open.push_back(Session);
  for (const auto &Session : Open)
    Session->closeIfOverdue(Now);
  sweepLater();
}

void CallerServer::onCommand(CallerCommand &Command) {
  std::visit([this](auto &One) { carryOut(One); }, Command);
}

void CallerServer::carryOut(GiveAnswer &Command) {
  if (const auto Session = takeSession(Command.Call_))
    Session->giveAnswer(Command.Call_, std::move(Command.Answer_));
}

void CallerServer::carryOut(const decision::RefuseCall &Command) {
  if (const auto Session = takeSession(Command.Call_))
    Session->giveRefusal(Command);
}

void CallerServer::carryOut(const WindDownCallers &) { IsWindingDown_ = true; }

void CallerServer::carryOut(const FinishCallers &) {
  IsWindingDown_ = true;
  IsFinishing_ = true;
  error_code Ignored;
  Acceptor_.cancel(Ignored);
  std::vector<std::shared_ptr<CallerSession>> Open;
  for (const auto &[Number, Session] : Sessions_)
    Open.push_back(Session);
  for (const auto &Session : Open)
    Session->finish();
  finishIfDone();
}

std::shared_ptr<CallerSession> CallerServer::takeSession(CallId Call) {
  const auto Position = SessionOfCall_.find(Call);
  if (Position == SessionOfCall_.end())
    return nullptr;
  const auto Session = Sessions_.find(Position->second);
  SessionOfCall_.erase(Position);
  return Session == Sessions_.end() ? nullptr : Session->second;
}

void CallerServer::finishIfDone() {
  if (IsFinishing_ && Sessions_.empty())
    OnFinished_();
}

} // namespace cranberryspool::entry
