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
  std::vector<Ranked> All;
  for (const document::PublishedInstance &Member : Members) {
    if (Member.IsLeaving_)
      continue;
    All.push_back(Ranked{
        0, rendezvousWeight(ReaderSubject, Member.Name_.value()), &Member});
  }
  const auto IsHeavier = [](const Ranked &Left, const Ranked &Right) {
    return std::tie(Right.Weight_, Left.Member_->Name_) <
           std::tie(Left.Weight_, Right.Member_->Name_);
  };
  std::sort(All.begin(), All.end(), IsHeavier);
  std::map<framework::ZoneName, std::size_t> Counts;
  for (Ranked &Item : All)
    Item.RankInZone_ = Counts[Item.Member_->Zone_]++;
  std::stable_sort(All.begin(), All.end(),
                   [](const Ranked &Left, const Ranked &Right) {
                     return Left.RankInZone_ < Right.RankInZone_;
                   });
  for (const Ranked &Item : All)
    Names_.push_back(Item.Member_->Name_);
}

std::size_t ReaderOrder::readerCount() const {
  const std::size_t Share =
      (Names_.size() + InstancesPerReader - 1) / InstancesPerReader;
  return std::min(Names_.size(), std::max(MinReaders, Share));
}

std::size_t ReaderOrder::position(const framework::InstanceName &Name) const {
  const auto Place = std::find(Names_.begin(), Names_.end(), Name);
  return static_cast<std::size_t>(Place - Names_.begin());
}

} // namespace cranberryspool::fleet
