#include "framework/runtime/supervisor.h"

#include "framework/runtime/clocks.h"

#include <exception>

namespace cranberryspool::framework {

Supervisor::Supervisor(RestartLimit Limit, FailureHandler OnFailure,
                       GiveUpHandler OnGiveUp)
    : Limit_(Limit), OnFailure_(std::move(OnFailure)),
      OnGiveUp_(std::move(OnGiveUp)) {}

Supervisor::~Supervisor() { stop(); }

void Supervisor::start(DutySpec Duty) {
  Threads_.emplace_back(
      [this, Duty = std::move(Duty)](const std::stop_token &Token) {
        superviseDuty(Duty, Token);
      });
}

void Supervisor::stop() {
  while (!Threads_.empty()) {
    Threads_.back().request_stop();
    Threads_.back().join();
    Threads_.pop_back();
  }
}

void Supervisor::superviseDuty(const DutySpec &Duty,
                               const std::stop_token &Token) {
  while (!Token.stop_requested()) {
    try {
      Duty.Run_(Token);
      if (Token.stop_requested())
        return;
      OnFailure_(Duty.Name_, "ended without being asked to");
    } catch (const std::exception &Failure) {
      OnFailure_(Duty.Name_, Failure.what());
    }
    if (mayRestart())
      continue;
    OnGiveUp_(Duty.Name_);
    return;
  }
}

bool Supervisor::mayRestart() {
  const std::lock_guard Guard(FailuresLock_);
  const Instant Now = readMoment().Monotonic_;
  Failures_.push_back(Now);
  while (Now - Failures_.front() > Limit_.Window_)
    Failures_.pop_front();
  return Failures_.size() <= Limit_.MaxRestarts_;
}

} // namespace cranberryspool::framework
