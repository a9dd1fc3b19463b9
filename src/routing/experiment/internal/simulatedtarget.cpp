#include "routing/experiment/simulatedtarget.h"

#include <algorithm>
#include <cmath>

namespace cranberryspool::experiment {

using framework::Duration;
using framework::Instant;

bool SimulatedTarget::accept(Job Id, Duration Work, Instant Now) {
  advance(Now);
  if (Running_.size() >= Slots_ && Queue_.size() >= MaxQueue_)
    return false;
  Queue_.push_back({Id, Work});
  fillSlots();
  recordLoad(Now);
  return true;
}

std::optional<SimulatedTarget::Completion>
SimulatedTarget::nextCompletion() const {
  if (Running_.empty())
    return std::nullopt;
  const auto First =
      std::min_element(Running_.begin(), Running_.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.RemainingWork_ < Right.RemainingWork_;
                       });
  const auto Micros = std::llround(std::ceil(First->RemainingWork_ / Speed_));
  return Completion{First->Job_, AdvancedUntil_ + Duration(Micros)};
}

void SimulatedTarget::complete(Job Id, Instant Now) { cancel(Id, Now); }

bool SimulatedTarget::cancel(Job Id, Instant Now) {
  advance(Now);
  const auto Matches = [Id](const auto &Entry) { return Entry.Job_ == Id; };
  const auto Erased =
      std::erase_if(Running_, Matches) + std::erase_if(Queue_, Matches);
  fillSlots();
  recordLoad(Now);
  return Erased > 0;
}

void SimulatedTarget::setSpeed(double Speed, Instant Now) {
  advance(Now);
  Speed_ = Speed;
}

routing::LoadReport SimulatedTarget::report(Instant Now) {
  while (LoadHistory_.size() > 1 && LoadHistory_[1].At_ <= Now - ReportLag_)
    LoadHistory_.pop_front();
  if (LoadHistory_.empty() || LoadHistory_.front().At_ > Now - ReportLag_)
    return {0, 0, Slots_, false, false};
  return LoadHistory_.front().Report_;
}

void SimulatedTarget::advance(Instant Now) {
  const double Done =
      Speed_ * static_cast<double>((Now - AdvancedUntil_).count());
  for (RunningJob &Entry : Running_)
    Entry.RemainingWork_ = std::max(Entry.RemainingWork_ - Done, 0.0);
  AdvancedUntil_ = Now;
}

void SimulatedTarget::fillSlots() {
  while (Running_.size() < Slots_ && !Queue_.empty()) {
    const WaitingJob Next = Queue_.front();
    Queue_.pop_front();
    Running_.push_back({Next.Job_, static_cast<double>(Next.Work_.count())});
  }
}

void SimulatedTarget::recordLoad(Instant Now) {
  report(Now);
  LoadHistory_.push_back(
      {Now,
       {static_cast<std::uint32_t>(Running_.size()),
        static_cast<std::uint32_t>(Queue_.size()), Slots_, false, false}});
}

} // namespace cranberryspool::experiment
