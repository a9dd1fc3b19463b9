#include "framework/runtime/supervisor.h"

#include "framework/runtime/clocks.h"

#include <exception>

namespace cranberryspool::framework {

Supervisor::Supervisor(RestartLimit Limit, FailureHandler OnFailure,
                       GiveUpHandler OnGiveUp)
    : Limit_(Limit), OnFailure_(std::move(OnFailure)),
      OnGiveUp_(std::move(OnGiveUp)) {}

Supervisor::~Supervisor() { stop(); }

void Supervisor::start(WorkerSpec Worker) {
  Threads_.emplace_back(
      [this, Worker = std::move(Worker)](const std::stop_token &Token) {
        superviseWorker(Worker, Token);
      });
}

void Supervisor::stop() {
  while (!Threads_.empty()) {
    Threads_.back().request_stop();
    Threads_.back().join();
    Threads_.pop_back();
  }
}

void Supervisor::superviseWorker(const WorkerSpec &Worker,
                                 const std::stop_token &Token) {
  while (!Token.stop_requested()) {
    try {
      Worker.Run_(Token);
      if (Token.stop_requested())
        return;
      OnFailure_(Worker.Name_, "returned before a stop was requested");
    } catch (const std::exception &Error) {
      OnFailure_(Worker.Name_, Error.what());
    }
    if (mayRestart())
      continue;
    OnGiveUp_(Worker.Name_);
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
