#include "entry/tests/targetfixture.h"

#include "entry/internal/listen.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace cranberryspool::entry {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

void runUntilStopped(net::io_context &Io) {
  const auto WorkGuard = net::make_work_guard(Io);
  Io.run();
}

} // namespace

TargetFixture::TargetFixture(const EntryLimits &Limits, HttpProfile Profile)
    : State_(Limits, Mailboxes_, std::move(Profile)),
      Acceptor_(std::move(listen(TargetIo_, {"127.0.0.1", 0}).value())) {
  Mailboxes_.Dispatch_.attach(DispatchIo_, [this](DispatchInput &Input) {
    const std::lock_guard Lock(Mutex_);
    Inputs_.push_back(std::move(Input));
    InputArrived_.notify_all();
  });
  Pool_ = std::make_unique<TargetConnectionPool>(PoolIo_, Limits, Mailboxes_,
                                                 State_);
  PoolThread_ = std::jthread([this] { runUntilStopped(PoolIo_); });
  DispatchThread_ = std::jthread([this] { runUntilStopped(DispatchIo_); });
}

TargetFixture::~TargetFixture() {
  DispatchIo_.stop();
  DispatchThread_.join();
  PoolIo_.stop();
  PoolThread_.join();
  Mailboxes_.Dispatch_.detach();
}

void TargetFixture::sendCommand(TargetCommand Command) {
  while (!Mailboxes_.Targets_.tryPush(Command))
    std::this_thread::yield();
}

tcp::socket TargetFixture::open(std::uint64_t Connection) {
  sendCommand(decision::OpenConnection{framework::ConnectionId(Connection),
                                       framework::TargetId(0), address()});
  tcp::socket Accepted = acceptConnection();
  expect<decision::ConnectionOpened>();
  return Accepted;
}

void TargetFixture::send(
    std::uint64_t Connection, std::uint64_t Attempt, const std::string &Method,
    const std::optional<decision::ForwardingInstance> &Forwarder,
    const std::string &Target, const std::string &CallerAttemptId) {
  auto Request = std::make_shared<CallerRequest>();
  Request->Method_ = Method;
  Request->Target_ = Target;
  Request->AttemptId_ = CallerAttemptId;
  Request->Fields_ = {{"Host", "x"}};
  Request->Body_ = Method == "POST" ? "body" : "";
  decision::SendAttempt Command;
  Command.Attempt_ = framework::AttemptId(Attempt);
  Command.Connection_ = framework::ConnectionId(Connection);
  Command.Timeout_ = std::chrono::milliseconds(250);
  Command.Depth_ = 2;
  Command.AttemptMark_ = 3;
  Command.ForwardedBy_ = Forwarder;
  sendCommand(SendRequest{Command, std::move(Request)});
}

DispatchInput TargetFixture::next() {
  std::unique_lock Lock(Mutex_);
  InputArrived_.wait(Lock, [this] { return !Inputs_.empty(); });
  DispatchInput Input = std::move(Inputs_.front());
  Inputs_.pop_front();
  return Input;
}

bool TargetFixture::hasNext(std::chrono::milliseconds Wait) {
  std::unique_lock Lock(Mutex_);
  return InputArrived_.wait_for(Lock, Wait,
                                [this] { return !Inputs_.empty(); });
}

std::string TargetFixture::address() const {
  const tcp::endpoint Address = Acceptor_.local_endpoint();
  return textOf({Address.address().to_string(), Address.port()});
}

tcp::socket TargetFixture::acceptConnection() { return Acceptor_.accept(); }

std::string readHead(tcp::socket &Socket) {
  std::string Head;
  boost::system::error_code Ignored;
  net::read_until(Socket, net::dynamic_buffer(Head), "\r\n\r\n", Ignored);
  return Head;
}

void writeAll(tcp::socket &Socket, std::string_view Bytes) {
  boost::system::error_code Ignored;
  net::write(Socket, net::buffer(Bytes.data(), Bytes.size()), Ignored);
}

} // namespace cranberryspool::entry
