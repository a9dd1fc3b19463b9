#include "fleet/internal/readerorder.h"
#include "fleet/internal/rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace cranberryspool::fleet {

namespace {

constexpr std::string_view ReaderSubject = "platform-reader";
constexpr std::size_t MinReaders = 3;
constexpr std::size_t InstancesPerReader = 4;

struct Ranked {
  std::size_t RankInZone_ = 0;
  std::uint64_t Weight_ = 0;
  const document::PublishedInstance *Member_ = nullptr;
};

} // namespace

ReaderOrder::ReaderOrder(
    const std::vector<document::PublishedInstance> &Members) {
  std::vector<Ranked> Ranking;
  for (const document::PublishedInstance &Member : Members) {
    if (Member.IsLeaving_)
      continue;
    Ranking.push_back(Ranked{
        0, rendezvousWeight(ReaderSubject, Member.Name_.value()), &Member});
  }
  const auto HasHigherWeight = [](const Ranked &Left, const Ranked &Right) {
    return std::tie(Right.Weight_, Left.Member_->Name_) <
           std::tie(Left.Weight_, Right.Member_->Name_);
  };
  std::sort(Ranking.begin(), Ranking.end(), HasHigherWeight);
  std::map<framework::ZoneName, std::size_t> Counts;
  for (Ranked &Item : Ranking)
    Item.RankInZone_ = Counts[Item.Member_->Zone_]++;
  std::stable_sort(Ranking.begin(), Ranking.end(),
                   [](const Ranked &Left, const Ranked &Right) {
                     return Left.RankInZone_ < Right.RankInZone_;
                   });
  for (const Ranked &Item : Ranking)
    Names_.push_back(Item.Member_->Name_);
}

std::size_t ReaderOrder::readerCount() const {
  const std::size_t ScaledCount =
      (Names_.size() + InstancesPerReader - 1) / InstancesPerReader;
  return std::min(Names_.size(), std::max(MinReaders, ScaledCount));
}

std::size_t ReaderOrder::position(const framework::InstanceName &Name) const {
  const auto Position = std::find(Names_.begin(), Names_.end(), Name);
  return static_cast<std::size_t>(Position - Names_.begin());
}

} // namespace cranberryspool::fleet
