#include "routing/experiment/simulatedtarget.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::experiment {

using framework::Duration;
using framework::Instant;

bool SimulatedTarget::accept(Job Id, Duration Work, Instant Now) {
  work(Now);
  if (Running_.size() >= Slots_ && Queue_.size() >= MaxQueue_)
    return false;
  Queue_.push_back({Id, Work});
  fillSlots();
  remember(Now);
  return true;
}

std::optional<SimulatedTarget::Completion>
SimulatedTarget::nextCompletion() const {
  if (Running_.empty())
    return std::nullopt;
  const auto First = std::min_element(Running_.begin(), Running_.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.Left_ < Right.Left_;
                                      });
  const auto Micros = std::llround(std::ceil(First->Left_ / Speed_));
  return Completion{First->Job_, WorkedUntil_ + Duration(Micros)};
}

void SimulatedTarget::complete(Job Id, Instant Now) { cancel(Id, Now); }

bool SimulatedTarget::cancel(Job Id, Instant Now) {
  work(Now);
  const auto IsIt = [Id](const auto &Entry) { return Entry.Job_ == Id; };
  const auto Erased =
      std::erase_if(Running_, IsIt) + std::erase_if(Queue_, IsIt);
  fillSlots();
  remember(Now);
  return Erased > 0;
}

void SimulatedTarget::setSpeed(double Speed, Instant Now) {
  work(Now);
  Speed_ = Speed;
}

routing::LoadReport SimulatedTarget::report(Instant Now) {
  while (Past_.size() > 1 && Past_[1].At_ <= Now - ReportLag_)
    Past_.pop_front();
  if (Past_.empty() || Past_.front().At_ > Now - ReportLag_)
    return {0, 0, Slots_, false, false};
  return Past_.front().Report_;
}

void SimulatedTarget::work(Instant Now) {
  const double Done =
      Speed_ * static_cast<double>((Now - WorkedUntil_).count());
  for (RunningJob &Entry : Running_)
    Entry.Left_ = std::max(Entry.Left_ - Done, 0.0);
  WorkedUntil_ = Now;
}

void SimulatedTarget::fillSlots() {
  while (Running_.size() < Slots_ && !Queue_.empty()) {
    const WaitingJob Next = Queue_.front();
    Queue_.pop_front();
    Running_.push_back({Next.Job_, static_cast<double>(Next.Work_.count())});
  }
}

void SimulatedTarget::remember(Instant Now) {
  report(Now);
  Past_.push_back(
      {Now,
       {static_cast<std::uint32_t>(Running_.size()),
        static_cast<std::uint32_t>(Queue_.size()), Slots_, false, false}});
}

} // namespace cranberryspool::experiment
