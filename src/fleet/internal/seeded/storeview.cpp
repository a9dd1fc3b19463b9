#include "fleet/internal/seeded/storeview.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Entries of ended lives and of foreign writers that are remembered at most.
constexpr std::size_t MaxRemembered = 4096;

} // namespace

void StoreView::noteAnswered(framework::Revision AsOf, framework::Instant Now) {
  if (AnsweredAt_ && Now <= *AnsweredAt_) {
    AsOf_ = std::max(AsOf_, AsOf);
    return;
  }
  if (AnsweredAt_ && Now - *AnsweredAt_ > AwayAfter)
    SettledAt_ = Now + RecoveryGrace_;
  AnsweredAt_ = Now;
  AsOf_ = std::max(AsOf_, AsOf);
}

StoreView::Changes
StoreView::replaceAll(const std::vector<StoredRecord> &Records,
                      framework::Revision AsOf, framework::Instant Now) {
  Changes Out;
  noteAnswered(AsOf, Now);
  replace(Records, Now, Out);
  return Out;
}

StoreView::Changes StoreView::takeOld(const std::vector<StoredRecord> &Records,
                                      framework::Revision AsOf,
                                      framework::Instant Now) {
  Changes Out;
  AsOf_ = std::max(AsOf_, AsOf);
  replace(Records, Now, Out);
  return Out;
}

void StoreView::replace(const std::vector<StoredRecord> &Records,
                        framework::Instant Now, Changes &Out) {
  std::set<std::string> Present;
  for (const StoredRecord &Each : Records) {
    Present.insert(Each.Key_);
    put(Each, Out);
  }
  std::vector<std::string> Missing;
  for (const auto &[Key, Entry] : Targets_)
    if (!Present.contains(Key))
      Missing.push_back(Key);
  for (const auto &[Key, Zone] : Evacuated_)
    if (!Present.contains(Key))
      Missing.push_back(Key);
  for (const std::string &Key : Missing)
    remove(Key, Now, Out);
  Out.AreTargetsNew_ = Out.AreTargetsNew_ || !HasList_;
  HasList_ = true;
}

StoreView::Changes StoreView::apply(const std::vector<StoredRecord> &Records,
                                    framework::Revision AsOf,
                                    framework::Instant Now) {
  Changes Out;
  noteAnswered(AsOf, Now);
  for (const StoredRecord &Each : Records) {
    if (Each.IsDeleted_)
      remove(Each.Key_, Now, Out);
    else
      put(Each, Out);
  }
  return Out;
}

StoreView::Changes StoreView::advance(framework::Instant Now) {
  Changes Out;
  if (isUnsettled(Now) || !AnsweredAt_ || Now - *AnsweredAt_ > AwayAfter)
    return Out;
  const std::size_t Gone = std::erase_if(Targets_, [](const auto &Each) {
    return Each.second.MissingSince_.has_value();
  });
  Out.AreTargetsNew_ = Gone > 0;
  return Out;
}

std::optional<framework::Duration>
StoreView::age(framework::Instant Now) const {
  if (!AnsweredAt_)
    return std::nullopt;
  return Now - *AnsweredAt_;
}

const framework::ZoneName *
StoreView::zoneOf(const framework::TargetName &Target) const {
  const auto Found = Zones_.find(Target);
  return Found == Zones_.end() ? nullptr : &Found->second;
}

std::vector<PublishedTarget> StoreView::targets() const {
  std::vector<PublishedTarget> Found;
  Found.reserve(Targets_.size());
  for (const auto &[Key, Entry] : Targets_) {
    Found.push_back(Entry.Target_);
    for (const auto &[ZoneKey, Zone] : Evacuated_)
      if (Zone == Entry.Target_.Zone_)
        Found.back().IsDraining_ = true;
  }
  return Found;
}

void StoreView::put(const StoredRecord &Record, Changes &Out) {
  PublishedItem Item = Decode_(Record.Key_, Record.Value_);
  if (auto *Target = std::get_if<PublishedTarget>(&Item)) {
    putTarget(Record.Key_, std::move(*Target), Out);
    return;
  }
  if (const auto *Zone = std::get_if<EvacuatedZone>(&Item)) {
    Out.AreTargetsNew_ |=
        Evacuated_.insert_or_assign(Record.Key_, Zone->Zone_).second;
    return;
  }
  if (auto *New = std::get_if<PublishedConfiguration>(&Item)) {
    const bool IsNewer =
        !Configuration_.Document_ || New->Version_ > Configuration_.Version_;
    if (!IsNewer)
      return;
    Configuration_ = std::move(*New);
    Out.IsDocumentNew_ = true;
    return;
  }
  Out.AreTargetsNew_ |= Targets_.erase(Record.Key_) > 0;
  if (RejectedValues_.size() >= MaxRemembered)
    RejectedValues_.clear();
  std::string &Known = RejectedValues_[Record.Key_];
  const std::string &Reason = std::get<UnreadableRecord>(Item).Reason_;
  if (Known == Reason)
    return;
  Known = Reason;
  Out.Rejected_.emplace_back(Record.Key_, Reason);
}

void StoreView::putTarget(const std::string &Key, PublishedTarget Target,
                          Changes &Out) {
  const auto Last = LastLives_.find(Key);
  const bool IsOld = Last != LastLives_.end() &&
                     std::pair(Target.Start_, Target.Sequence_) <
                         std::pair(Last->second.Start_, Last->second.Sequence_);
  if (IsOld) {
    Out.Rejected_.emplace_back(Key, "entry of an earlier life of the target");
    return;
  }
  if (LastLives_.size() >= MaxRemembered)
    LastLives_.clear();
  LastLives_[Key] = LastLife{Target.Start_, Target.Sequence_};
  if (Zones_.size() >= MaxRemembered)
    Zones_.clear();
  Zones_[Target.Name_] = Target.Zone_;
  TargetEntry &Entry = Targets_[Key];
  Out.AreTargetsNew_ = true;
  Entry = TargetEntry{std::move(Target), std::nullopt};
}

void StoreView::remove(const std::string &Key, framework::Instant Now,
                       Changes &Out) {
  Out.AreTargetsNew_ |= Evacuated_.erase(Key) > 0;
  const auto Position = Targets_.find(Key);
  if (Position == Targets_.end())
    return;
  if (isUnsettled(Now) && !Position->second.Target_.IsDraining_) {
    Position->second.MissingSince_ = Now;
    return;
  }
  Targets_.erase(Position);
  Out.AreTargetsNew_ = true;
}

} // namespace cranberryspool::fleet
