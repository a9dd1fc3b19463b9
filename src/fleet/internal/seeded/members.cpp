#include "fleet/internal/seeded/members.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

bool Members::take(const MemberInfo &Told, framework::Instant HeardAt) {
  if (Told.Name_ == Self_.Name_)
    return false;
  const auto Position = Records_.find(Told.Name_);
  if (Position == Records_.end()) {
    Records_.emplace(Told.Name_, Record{Told, HeardAt});
    ++Changes_;
    return true;
  }
  Record &Known = Position->second;
  if (Told.Incarnation_ < Known.Known_.Incarnation_)
    return false;
  const bool IsNewer = Told.Incarnation_ > Known.Known_.Incarnation_;
  if (!IsNewer && HeardAt <= Known.HeardAt_)
    return false;
  const bool IsNews = IsNewer || Known.IsLost_;
  Changes_ += IsNewer ? 1 : 0;
  Known.Known_ = Told;
  Known.HeardAt_ = HeardAt;
  Known.IsStopping_ = Known.IsStopping_ && !IsNewer;
  return IsNews;
}

bool Members::note(const GossipMessage &Message, framework::Instant Now) {
  bool IsSenderNew = false;
  for (std::size_t At = 0; At < Message.Members_.size(); ++At) {
    const MemberInfo &Told = Message.Members_[At];
    const framework::Instant HeardAt =
        Now - (At == 0 ? framework::Duration{} : Told.Age_);
    const bool IsNews = take(Told, HeardAt);
    const auto Position = Records_.find(Told.Name_);
    if (Position == Records_.end())
      continue;
    Record &Known = Position->second;
    if (Known.IsLost_ && Now - Known.HeardAt_ < lostAfter()) {
      Known.IsLost_ = false;
      ++Changes_;
    }
    if (At > 0)
      continue;
    IsSenderNew = IsNews;
    if (Known.Known_.Incarnation_ != Told.Incarnation_ ||
        Known.IsStopping_ == Message.IsStopping_)
      continue;
    Known.IsStopping_ = Message.IsStopping_;
    ++Changes_;
  }
  return IsSenderNew;
}

void Members::noteAlive(const framework::InstanceName &Name,
                        framework::Incarnation Incarnation,
                        framework::Instant Now) {
  const auto Known = Records_.find(Name);
  if (Known == Records_.end() || Known->second.IsLost_ ||
      Known->second.Known_.Incarnation_ != Incarnation)
    return;
  Known->second.HeardAt_ = std::max(Known->second.HeardAt_, Now);
}

std::vector<framework::InstanceName> Members::expire(framework::Instant Now) {
  std::vector<framework::InstanceName> Lost;
  for (auto &[Name, Known] : Records_) {
    if (Known.IsLost_ || Now - Known.HeardAt_ < lostAfter())
      continue;
    Known.IsLost_ = true;
    Lost.push_back(Name);
  }
  const std::size_t Forgotten = std::erase_if(Records_, [&](const auto &Each) {
    return Now - Each.second.HeardAt_ > PeakMemory;
  });
  Changes_ += Lost.size() + Forgotten;
  return Lost;
}

framework::Duration Members::lostAfter() const {
  return std::clamp(LostAfterOfMember *
                        static_cast<framework::Duration::rep>(peak()),
                    MinLostAfter, MaxLostAfter);
}

std::size_t Members::count() const {
  const auto Running =
      std::count_if(Records_.begin(), Records_.end(), [](const auto &Each) {
        return !Each.second.IsLost_ && !Each.second.IsStopping_;
      });
  return static_cast<std::size_t>(Running) + 1;
}

std::size_t Members::peak() const { return Records_.size() + 1; }

std::vector<MemberInfo> Members::sample(std::size_t Most,
                                         framework::Instant Now,
                                         framework::Random &Rng) const {
  std::vector<const Record *> Heard;
  for (const auto &[Name, Known] : Records_)
    if (!Known.IsLost_)
      Heard.push_back(&Known);
  std::vector<MemberInfo> Chosen{Self_};
  const std::size_t Count = std::min(Most, Heard.size());
  for (std::size_t At = 0; At < Count; ++At) {
    std::swap(Heard[At], Heard[At + Rng.index(Heard.size() - At)]);
    Chosen.push_back(Heard[At]->Known_);
    Chosen.back().Age_ = Now - Heard[At]->HeardAt_;
  }
  return Chosen;
}

} // namespace cranberryspool::fleet
