#include "entry/tests/callerfixture.h"

#include "entry/endpointtext.h"
#include "entry/internal/listen.h"

#include <boost/asio/executor_work_guard.hpp>

namespace cranberryspool::entry {

namespace {

decision::RefuseCall refusalFor(std::string_view Path) {
  decision::RefuseCall Refusal;
  Refusal.RetryAfter_ = std::chrono::milliseconds(1500);
  Refusal.Reason_ = calls::EndingReason::QueueFull;
  if (Path == "/refuse/shed")
    Refusal.Reason_ = calls::EndingReason::Shed;
  if (Path == "/refuse/unauthenticated") {
    Refusal.Reason_ = calls::EndingReason::Unauthenticated;
    Refusal.RetryAfter_ = framework::Duration::zero();
  }
  if (Path == "/refuse/unconfirmed")
    Refusal.Reason_ = calls::EndingReason::AccessUnconfirmed;
  if (Path == "/refuse/over-quota")
    Refusal.Reason_ = calls::EndingReason::OverQuota;
  if (Path == "/refuse/unknown") {
    Refusal.Ending_ = calls::Ending::Unknown;
    Refusal.Reason_ = calls::EndingReason::ConnectionLost;
  }
  if (Path == "/refuse/deadline") {
    Refusal.Ending_ = calls::Ending::DeadlinePassed;
    Refusal.Reason_ = calls::EndingReason::DeadlinePassed;
    Refusal.RetryAfter_ = framework::Duration::zero();
  }
  return Refusal;
}

void runUntilStopped(boost::asio::io_context &Io) {
  const auto WorkGuard = boost::asio::make_work_guard(Io);
  Io.run();
}

} // namespace

CallerFixture::CallerFixture(const EntryLimits &Limits)
    : State_(Limits, Mailboxes_) {
  auto Listener = listen(ServerIo_, {"127.0.0.1", 0});
  const auto Address = Listener.value().local_endpoint();
  Endpoint_ = {Address.address().to_string(), Address.port()};
  auto PeerListener = listen(ServerIo_, {"127.0.0.1", 0});
  const auto PeerAddress = PeerListener.value().local_endpoint();
  PeerEndpoint_ = {PeerAddress.address().to_string(), PeerAddress.port()};
  Mailboxes_.Dispatch_.attach(DispatchIo_,
                              [this](DispatchInput &Input) { onInput(Input); });
  Server_ = std::make_unique<CallerServer>(
      ServerIo_, std::move(Listener.value()), std::move(PeerListener.value()),
      Limits, framework::CallId(1000), Mailboxes_, State_, [this] {
        const std::lock_guard Lock(Mutex_);
        IsClosed_ = true;
        StateChanged_.notify_all();
      });
  ServerThread_ = std::jthread([this] { runUntilStopped(ServerIo_); });
  DispatchThread_ = std::jthread([this] { runUntilStopped(DispatchIo_); });
}

CallerFixture::~CallerFixture() {
  DispatchIo_.stop();
  DispatchThread_.join();
  ServerIo_.stop();
  ServerThread_.join();
  Mailboxes_.Dispatch_.detach();
}

void CallerFixture::sendCommand(CallerCommand Command) {
  while (!Mailboxes_.Callers_.tryPush(Command))
    std::this_thread::yield();
}

std::shared_ptr<const CallerRequest>
CallerFixture::awaitCalls(std::size_t Count) {
  std::unique_lock Lock(Mutex_);
  StateChanged_.wait(Lock, [this, Count] { return CallCount_ >= Count; });
  return LastRequest_;
}

std::size_t CallerFixture::callCount() {
  const std::lock_guard Lock(Mutex_);
  return CallCount_;
}

std::string CallerFixture::peerAddress() const { return textOf(PeerEndpoint_); }

std::optional<decision::ForwardingInstance> CallerFixture::lastForwarder() {
  const std::lock_guard Lock(Mutex_);
  return LastArrival_.ForwardedBy_;
}

decision::CallArrived CallerFixture::lastArrival() {
  const std::lock_guard Lock(Mutex_);
  return LastArrival_;
}

void CallerFixture::setWorkspacesInForce(bool AreInForce) {
  State_.HasWorkspaces_.store(AreInForce);
}

framework::CallId CallerFixture::lastCall() {
  const std::lock_guard Lock(Mutex_);
  return LastCall_;
}

void CallerFixture::awaitCallerGone(framework::CallId Call) {
  std::unique_lock Lock(Mutex_);
  StateChanged_.wait(Lock, [this, Call] { return AbandonedCall_ == Call; });
}

void CallerFixture::awaitClosed() {
  std::unique_lock Lock(Mutex_);
  StateChanged_.wait(Lock, [this] { return IsClosed_; });
}

RefusedRequest CallerFixture::awaitRefused() {
  std::unique_lock Lock(Mutex_);
  StateChanged_.wait(Lock, [this] { return Refused_.has_value(); });
  return *std::exchange(Refused_, std::nullopt);
}

void CallerFixture::onInput(DispatchInput &Input) {
  if (Input.Refused_) {
    const std::lock_guard Lock(Mutex_);
    Refused_ = Input.Refused_;
    StateChanged_.notify_all();
    return;
  }
  if (const auto *Arrived = std::get_if<decision::CallArrived>(&Input.Event_)) {
    handleCall(*Arrived, Input.Request_);
  } else if (const auto *Gone =
                 std::get_if<decision::CallerGone>(&Input.Event_)) {
    const std::lock_guard Lock(Mutex_);
    AbandonedCall_ = Gone->Call_;
    StateChanged_.notify_all();
  }
}

void CallerFixture::handleCall(
    const decision::CallArrived &Arrived,
    const std::shared_ptr<const CallerRequest> &Request) {
  {
    const std::lock_guard Lock(Mutex_);
    ++CallCount_;
    LastCall_ = Arrived.Call_;
    LastArrival_ = Arrived;
    LastRequest_ = Request;
    StateChanged_.notify_all();
  }
  if (Arrived.Path_ == "/hold")
    return;
  if (Arrived.Path_.starts_with("/refuse/")) {
    decision::RefuseCall Refusal = refusalFor(Arrived.Path_);
    Refusal.Call_ = Arrived.Call_;
    sendCommand(Refusal);
    return;
  }
  auto Response = std::make_shared<TargetResponse>();
  Response->Status_ = 200;
  Response->Fields_ = {{"Content-Type", "text/plain"}};
  Response->Body_ = Request->Target_ + " " + Request->Body_;
  sendCommand(SendResponse{Arrived.Call_, std::move(Response)});
}

} // namespace cranberryspool::entry
