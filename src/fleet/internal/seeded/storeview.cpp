#include "fleet/internal/seeded/storeview.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Bounds the memory for targets that have ended and for records of foreign
/// writers.
constexpr std::size_t MaxRememberedKeys = 4096;

} // namespace

void StoreView::recordAnswer(framework::Revision AsOf, framework::Instant Now) {
  // An answer from before a known change says nothing about the present.
  if (AsOf < Revision_)
    return;
  if (AnsweredAt_ && Now <= *AnsweredAt_) {
    Revision_ = AsOf;
    return;
  }
  Outages_.recordAnswerToOther(Now, Now);
  AnsweredAt_ = Now;
  Revision_ = AsOf;
}

StoreView::Changes
StoreView::replaceAll(const std::vector<StoredRecord> &Records,
                      framework::Revision AsOf, framework::Instant Now) {
  Changes Result;
  recordAnswer(AsOf, Now);
  replace(Records, AsOf, Now, Result);
  return Result;
}

StoreView::Changes
StoreView::replaceAllStale(const std::vector<StoredRecord> &Records,
                           framework::Revision AsOf, framework::Instant Now) {
  Changes Result;
  framework::Revision Newest;
  for (const StoredRecord &Each : Records)
    Newest = std::max(Newest, Each.Revision_);
  const framework::Revision Reached = std::min(Newest, AsOf);
  Revision_ = std::max(Revision_, Reached);
  replace(Records, Reached, Now, Result);
  return Result;
}

void StoreView::replace(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, framework::Instant Now,
                        Changes &Result) {
  std::set<std::string> Present;
  for (const StoredRecord &Each : Records) {
    Present.insert(Each.Key_);
    applyChange(Each, Now, Result);
  }
  for (const std::string &Key : Records_.findMissing(Present, AsOf)) {
    Records_.put({Key, "", AsOf, true});
    remove(Key, Now, Result);
  }
  // Keys that were added and deleted in between are not known.
  Records_.setCompleteSince(AsOf);
  Result.AreTargetsChanged_ = Result.AreTargetsChanged_ || !IsLoaded_;
  IsLoaded_ = true;
}

StoreView::Changes StoreView::reset(const std::vector<StoredRecord> &Records,
                                    framework::Revision AsOf,
                                    framework::Instant Now) {
  Changes Result;
  Records_ = RecordTable();
  LastRegistrations_.clear();
  IsConfigurationOutdated_ = true;
  Revision_ = AsOf;
  AnsweredAt_ = Now;
  Outages_.recordAnswerToOther(Now, Now);
  std::set<std::string> Before;
  for (const auto &[Key, Target] : Targets_)
    Before.insert(Key);
  for (const auto &[Key, Zone] : EvacuatedZones_)
    Before.insert(Key);
  for (const StoredRecord &Each : Records) {
    Before.erase(Each.Key_);
    put(Each, Result);
  }
  for (const std::string &Key : Before)
    remove(Key, Now, Result);
  Records_.setCompleteSince(AsOf);
  return Result;
}

const std::string *
StoreView::findContradicted(const std::vector<StoredRecord> &Records,
                            framework::Revision Known) const {
  for (const StoredRecord &Each : Records) {
    const StoredRecord *Own = Records_.find(Each.Key_);
    if (!Own)
      continue;
    const bool IsOlder =
        Each.Revision_ < Own->Revision_ && Own->Revision_ <= Known;
    if (IsOlder || isOtherValue(Each) || isRefusedConfiguration(Each))
      return &Each.Key_;
  }
  return nullptr;
}

bool StoreView::isOtherValue(const StoredRecord &Record) const {
  const StoredRecord *Known = Records_.find(Record.Key_);
  if (!Known || Known->Revision_ != Record.Revision_)
    return false;
  // The value of a record that is not used is not kept.
  return Known->IsDeleted_ != Record.IsDeleted_ ||
         (!Known->Value_.empty() && Known->Value_ != Record.Value_);
}

bool StoreView::isRefusedConfiguration(const StoredRecord &Record) const {
  // After the view was replaced, the configuration in force may have no record.
  const StoredRecord *Known = Records_.find(Record.Key_);
  if (Record.Key_ != ConfigurationKey_ || !Known || !Records_.isNewer(Record) ||
      Known->Value_ == Record.Value_)
    return false;
  const PublishedItem Item = Decode_(Record.Key_, Record.Value_);
  const auto *Configuration = std::get_if<PublishedConfiguration>(&Item);
  return Configuration && Configuration->Version_ <= Configuration_.Version_;
}

StoreView::Changes StoreView::apply(const std::vector<StoredRecord> &Records,
                                    framework::Revision AsOf,
                                    framework::Instant Now) {
  Changes Result;
  recordAnswer(AsOf, Now);
  for (const StoredRecord &Each : Records)
    applyChange(Each, Now, Result);
  return Result;
}

StoreView::Changes
StoreView::applyPart(const std::vector<StoredRecord> &Records,
                     framework::Revision UpTo, framework::Instant Now) {
  Revision_ = std::max(Revision_, UpTo);
  return applyAhead(Records, Now);
}

StoreView::Changes
StoreView::applyAhead(const std::vector<StoredRecord> &Records,
                      framework::Instant Now) {
  Changes Result;
  for (const StoredRecord &Each : Records)
    applyChange(Each, Now, Result);
  return Result;
}

void StoreView::applyChange(const StoredRecord &Record, framework::Instant Now,
                            Changes &Result) {
  if (!Records_.isNewer(Record))
    return;
  if (!Record.IsDeleted_) {
    put(Record, Result);
    return;
  }
  Records_.put(Record);
  remove(Record.Key_, Now, Result);
}

StoreView::Changes StoreView::expireMissing(framework::Instant Now) {
  Changes Result;
  if (mayRecordsBeLost(Now))
    return Result;
  for (auto Each = Targets_.begin(); Each != Targets_.end();) {
    const auto Position = Each++;
    if (!Position->second.MissingSince_)
      continue;
    Result.Removed_.push_back(Position->first);
    eraseTarget(Position);
  }
  Result.AreTargetsChanged_ = !Result.Removed_.empty();
  return Result;
}

std::optional<framework::Duration>
StoreView::age(framework::Instant Now) const {
  if (!AnsweredAt_)
    return std::nullopt;
  return Now - *AnsweredAt_;
}

framework::Revision StoreView::configurationRevision() const {
  const StoredRecord *Record = Records_.find(ConfigurationKey_);
  return Record ? Record->Revision_ : framework::Revision();
}

const framework::ZoneName *
StoreView::zoneOf(const framework::TargetName &Target) const {
  const auto Found = Zones_.find(Target);
  return Found == Zones_.end() ? nullptr : &Found->second;
}

std::size_t StoreView::countTargets(const framework::ZoneName &Zone) const {
  const auto Found = TargetCounts_.find(Zone);
  return Found == TargetCounts_.end() ? 0 : Found->second;
}

void StoreView::eraseTarget(
    std::map<std::string, TargetEntry>::iterator Position) {
  --TargetCounts_[Position->second.Target_.Zone_];
  Targets_.erase(Position);
}

std::vector<PublishedTarget> StoreView::targets() const {
  std::vector<PublishedTarget> Found;
  Found.reserve(Targets_.size());
  for (const auto &[Key, Entry] : Targets_) {
    Found.push_back(Entry.Target_);
    Found.back().IsUnconfirmed_ = Entry.MissingSince_.has_value();
    for (const auto &[ZoneKey, Zone] : EvacuatedZones_)
      if (Zone == Entry.Target_.Zone_)
        Found.back().IsDraining_ = true;
  }
  return Found;
}

void StoreView::put(const StoredRecord &Record, Changes &Result) {
  PublishedItem Item = Decode_(Record.Key_, Record.Value_);
  if (auto *Target = std::get_if<PublishedTarget>(&Item)) {
    putTarget(Record, std::move(*Target), Result);
    return;
  }
  if (const auto *Zone = std::get_if<EvacuatedZone>(&Item)) {
    Records_.put(Record);
    Result.AreTargetsChanged_ |=
        EvacuatedZones_.insert_or_assign(Record.Key_, Zone->Zone_).second;
    return;
  }
  if (auto *Configuration = std::get_if<PublishedConfiguration>(&Item)) {
    putConfiguration(Record, std::move(*Configuration), Result);
    return;
  }
  reject(Record.Key_, std::get<UnreadableRecord>(Item).Reason_, Result);
  // The configuration in force stays, and with it its record.
  if (Record.Key_ == ConfigurationKey_)
    return;
  // The value of a record that is not used is not kept.
  Records_.put({Record.Key_, "", Record.Revision_, false});
  const auto Position = Targets_.find(Record.Key_);
  if (Position == Targets_.end())
    return;
  eraseTarget(Position);
  Result.AreTargetsChanged_ = true;
}

void StoreView::putConfiguration(const StoredRecord &Record,
                                 PublishedConfiguration Configuration,
                                 Changes &Result) {
  const bool IsNewer = !Configuration_.Document_ || IsConfigurationOutdated_ ||
                       Configuration.Version_ > Configuration_.Version_;
  if (!IsNewer)
    return;
  IsConfigurationOutdated_ = false;
  Records_.put(Record);
  ConfigurationKey_ = Record.Key_;
  Configuration_ = std::move(Configuration);
  Result.IsDocumentChanged_ = true;
}

void StoreView::reject(const std::string &Key, const std::string &Reason,
                       Changes &Result) {
  if (RejectionReasons_.size() >= MaxRememberedKeys)
    RejectionReasons_.clear();
  std::string &LastReason = RejectionReasons_[Key];
  if (LastReason == Reason)
    return;
  LastReason = Reason;
  Result.Rejected_.emplace_back(Key, Reason);
}

void StoreView::putTarget(const StoredRecord &Record, PublishedTarget Target,
                          Changes &Result) {
  const std::string &Key = Record.Key_;
  const auto Last = LastRegistrations_.find(Key);
  const bool IsOutdated =
      Last != LastRegistrations_.end() &&
      std::pair(Target.Start_, Target.Sequence_) <
          std::pair(Last->second.Start_, Last->second.Sequence_);
  if (IsOutdated) {
    Result.Rejected_.emplace_back(Key,
                                  "record of an earlier start of the target");
    return;
  }
  Records_.put(Record);
  if (LastRegistrations_.size() >= MaxRememberedKeys)
    LastRegistrations_.clear();
  LastRegistrations_[Key] = Registration{Target.Start_, Target.Sequence_};
  if (Zones_.size() >= MaxRememberedKeys)
    Zones_.clear();
  Zones_[Target.Name_] = Target.Zone_;
  const auto Known = Targets_.find(Key);
  if (Known != Targets_.end())
    --TargetCounts_[Known->second.Target_.Zone_];
  ++TargetCounts_[Target.Zone_];
  TargetEntry &Entry = Targets_[Key];
  if (Target.IsDraining_ && !Entry.Target_.IsDraining_)
    Result.Draining_.push_back(Key);
  Result.AreTargetsChanged_ = true;
  Entry = TargetEntry{std::move(Target), std::nullopt};
}

void StoreView::remove(const std::string &Key, framework::Instant Now,
                       Changes &Result) {
  Result.AreTargetsChanged_ |= EvacuatedZones_.erase(Key) > 0;
  const auto Position = Targets_.find(Key);
  if (Position == Targets_.end())
    return;
  if (mayRecordsBeLost(Now) && !Position->second.Target_.IsDraining_) {
    Position->second.MissingSince_ = Now;
    Result.Deferred_.push_back(Key);
    Result.AreTargetsChanged_ = true;
    return;
  }
  eraseTarget(Position);
  Result.Removed_.push_back(Key);
  Result.AreTargetsChanged_ = true;
}

} // namespace cranberryspool::fleet
