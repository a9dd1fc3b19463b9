#include "entry/tests/callerfixture.h"

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
  const auto Work = boost::asio::make_work_guard(Io);
  Io.run();
}

} // namespace

CallerFixture::CallerFixture(const EntryLimits &Limits)
    : Shared_(Limits, Rings_) {
  auto Listener = listen(ServerIo_, {"127.0.0.1", 0});
  const auto At = Listener.value().local_endpoint();
  Endpoint_ = {At.address().to_string(), At.port()};
  Rings_.Dispatch_.attach(DispatchIo_,
                          [this](DispatchInput &Input) { onInput(Input); });
  Server_ = std::make_unique<CallerServer>(
      ServerIo_, std::move(Listener.value()), Limits, framework::CallId(1000),
      Rings_, Shared_, [this] {
        const std::lock_guard Guard(Lock_);
        IsFinished_ = true;
        Changed_.notify_all();
      });
  ServerThread_ = std::jthread([this] { runUntilStopped(ServerIo_); });
  DispatchThread_ = std::jthread([this] { runUntilStopped(DispatchIo_); });
}

CallerFixture::~CallerFixture() {
  DispatchIo_.stop();
  DispatchThread_.join();
  ServerIo_.stop();
  ServerThread_.join();
  Rings_.Dispatch_.detach();
}

void CallerFixture::order(CallerCommand Command) {
  while (!Rings_.Callers_.tryPush(Command))
    std::this_thread::yield();
}

std::shared_ptr<const CallerRequest>
CallerFixture::awaitCall(std::size_t Count) {
  std::unique_lock Guard(Lock_);
  Changed_.wait(Guard, [this, Count] { return CallCount_ >= Count; });
  return LastRequest_;
}

std::size_t CallerFixture::callCount() {
  const std::lock_guard Guard(Lock_);
  return CallCount_;
}

framework::CallId CallerFixture::lastCall() {
  const std::lock_guard Guard(Lock_);
  return LastCall_;
}

void CallerFixture::awaitGone(framework::CallId Call) {
  std::unique_lock Guard(Lock_);
  Changed_.wait(Guard, [this, Call] { return GoneCall_ == Call; });
}

void CallerFixture::awaitFinished() {
  std::unique_lock Guard(Lock_);
  Changed_.wait(Guard, [this] { return IsFinished_; });
}

void CallerFixture::onInput(DispatchInput &Input) {
  if (const auto *Arrived = std::get_if<decision::CallArrived>(&Input.Event_)) {
    arrive(*Arrived, Input.Request_);
  } else if (const auto *Gone =
                 std::get_if<decision::CallerGone>(&Input.Event_)) {
    const std::lock_guard Guard(Lock_);
    GoneCall_ = Gone->Call_;
    Changed_.notify_all();
  }
}

void CallerFixture::arrive(
    const decision::CallArrived &Arrived,
    const std::shared_ptr<const CallerRequest> &Request) {
  {
    const std::lock_guard Guard(Lock_);
    ++CallCount_;
    LastCall_ = Arrived.Call_;
    LastRequest_ = Request;
    Changed_.notify_all();
  }
  if (Arrived.Path_ == "/hold")
    return;
  if (Arrived.Path_.starts_with("/refuse/")) {
    decision::RefuseCall Refusal = refusalFor(Arrived.Path_);
    Refusal.Call_ = Arrived.Call_;
    order(Refusal);
    return;
  }
  auto Answer = std::make_shared<TargetAnswer>();
  Answer->Status_ = 200;
  Answer->Fields_ = {{"Content-Type", "text/plain"}};
  Answer->Body_ = Request->Target_ + " " + Request->Body_;
  order(GiveAnswer{Arrived.Call_, std::move(Answer)});
}

} // namespace cranberryspool::entry
