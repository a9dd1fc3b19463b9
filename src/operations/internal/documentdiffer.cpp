#include "operations/internal/documentdiffer.h"

#include "framework/units.h"
#include "operations/diffdocuments.h"
#include "operations/internal/quotatext.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace cranberryspool::operations {

namespace {

using document::EnvironmentDocument;
using document::KeyDigest;
using document::Objective;
using document::RequestKind;
using document::Service;
using document::TargetGroup;
using document::Urgency;
using document::Workspace;
using document::Zone;
using document::ZoneState;
using framework::durationText;
using framework::shareText;

std::string formatValue(ZoneState Value) {
  return Value == ZoneState::InService ? "in" : "out";
}

std::string formatValue(Urgency Value) {
  return Value == Urgency::Urgent ? "urgent" : "ordinary";
}

std::string formatValue(bool Value) { return Value ? "true" : "false"; }

std::string formatValue(const RequestKind &Kind) {
  return Kind.Method_ + " " + Kind.PathPattern_;
}

std::string formatValue(const Objective &Goal) {
  return shareText(Goal.GoodPerMillion_) + " within " +
         durationText(Goal.Latency_);
}

std::string formatValue(std::optional<std::uint32_t> Value) {
  return Value ? std::to_string(*Value) : "none";
}

std::string formatKeyCount(std::size_t Count) {
  return std::to_string(Count) + (Count == 1 ? " key" : " keys");
}

std::string formatValue(const Workspace &Declared) {
  std::string Text = formatKeyCount(Declared.KeyDigests_.size());
  if (Declared.Priority_)
    Text += ", priority " + formatValue(Declared.Priority_);
  if (Declared.Quota_.isLimited())
    Text += ", quota " + quotaText(Declared.Quota_);
  return Text;
}

/// Returns the keys of all workspaces, sorted.
std::vector<KeyDigest> allKeys(const EnvironmentDocument &Document) {
  std::vector<KeyDigest> Keys;
  for (const Workspace &Each : Document.Workspaces_)
    Keys.insert(Keys.end(), Each.KeyDigests_.begin(), Each.KeyDigests_.end());
  std::sort(Keys.begin(), Keys.end());
  return Keys;
}

/// Returns the keys of one sorted list that are not in the other.
std::vector<KeyDigest> keysOnlyIn(const std::vector<KeyDigest> &Keys,
                                  const std::vector<KeyDigest> &Others) {
  std::vector<KeyDigest> Result;
  std::set_difference(Keys.begin(), Keys.end(), Others.begin(), Others.end(),
                      std::back_inserter(Result));
  return Result;
}

/// Merges two lists that are sorted by the key that `GetKey` returns. Calls
/// `OnBoth(old, new)` for a key in both lists, `OnRemoved(old)` for a key in
/// the old list only and `OnAdded(new)` for a key in the new list only.
template <typename Item, typename KeyFunction, typename BothHandler,
          typename RemovedHandler, typename AddedHandler>
void mergeByKey(const std::vector<Item> &Old, const std::vector<Item> &New,
                KeyFunction GetKey, BothHandler OnBoth,
                RemovedHandler OnRemoved, AddedHandler OnAdded) {
  auto OldItem = Old.begin();
  auto NewItem = New.begin();
  while (OldItem != Old.end() || NewItem != New.end()) {
    const bool IsOldNext =
        NewItem == New.end() ||
        (OldItem != Old.end() && !(GetKey(*NewItem) < GetKey(*OldItem)));
    const bool IsNewNext =
        OldItem == Old.end() ||
        (NewItem != New.end() && !(GetKey(*OldItem) < GetKey(*NewItem)));
    if (IsOldNext && IsNewNext)
      OnBoth(*OldItem, *NewItem);
    else if (IsOldNext)
      OnRemoved(*OldItem);
    else
      OnAdded(*NewItem);
    if (IsOldNext)
      ++OldItem;
    if (IsNewNext)
      ++NewItem;
  }
}

struct NameGetter {
  template <typename Item> const auto &operator()(const Item &Each) const {
    return Each.Name_;
  }
};

struct UrgencyGetter {
  Urgency operator()(const Objective &Each) const { return Each.Urgency_; }
};

} // namespace

DocumentDiffer::DocumentDiffer(const EnvironmentDocument &Old,
                               const EnvironmentDocument &New)
    : Old_(Old), New_(New), OldKeys_(allKeys(Old)), NewKeys_(allKeys(New)) {}

std::vector<DocumentChange> DocumentDiffer::run() {
  compare(ChangeCategory::Instances, "instances", "max-instances",
          std::to_string(Old_.MaxInstances_),
          std::to_string(New_.MaxInstances_));
  compare(ChangeCategory::Instances, "instances", "list-lag",
          durationText(Old_.ListLag_), durationText(New_.ListLag_));
  compareZones();
  compareServices();
  compareKeyRequirement();
  compareWorkspaces();
  findServicesWithoutZone();
  std::stable_sort(Changes_.begin(), Changes_.end(),
                   [](const DocumentChange &Left, const DocumentChange &Right) {
                     return Left.Category_ < Right.Category_;
                   });
  return std::move(Changes_);
}

void DocumentDiffer::add(DocumentChange Change) {
  Changes_.push_back(std::move(Change));
}

void DocumentDiffer::compare(ChangeCategory Category,
                             const std::string &Subject,
                             const std::string &Property, std::string Before,
                             std::string After, ChangeEffect Effect) {
  if (Before != After)
    add({Category, Subject, Property, std::move(Before), std::move(After),
         Effect});
}

void DocumentDiffer::compareZones() {
  mergeByKey(
      Old_.Zones_, New_.Zones_, NameGetter(),
      [this](const Zone &Old, const Zone &New) {
        compare(ChangeCategory::Zones, "zone " + New.Name_.value(), "state",
                formatValue(Old.State_), formatValue(New.State_),
                New.State_ == ZoneState::OutOfService
                    ? ChangeEffect::StopsNewCalls
                    : ChangeEffect::StartsNewCalls);
      },
      [this](const Zone &Old) {
        add({ChangeCategory::Zones, "zone " + Old.Name_.value(), "",
             formatValue(Old.State_), "", ChangeEffect::StopsNewCalls});
      },
      [this](const Zone &New) {
        add({ChangeCategory::Zones, "zone " + New.Name_.value(), "", "",
             formatValue(New.State_), ChangeEffect::None});
      });
}

void DocumentDiffer::compareServices() {
  const Service None;
  mergeByKey(
      Old_.Services_, New_.Services_, NameGetter(),
      [this](const Service &Old, const Service &New) {
        compareService(Old, New);
        compareLimits(Old, New);
      },
      [this, &None](const Service &Old) {
        Service Removed = None;
        Removed.Name_ = Old.Name_;
        compareService(Old, Removed);
      },
      [this, &None](const Service &New) {
        Service Added = None;
        Added.Name_ = New.Name_;
        compareService(Added, New);
      });
}

void DocumentDiffer::compareService(const Service &Old, const Service &New) {
  compareGroups(Old, New);
  compareKinds(Old, New);
  compareObjectives(Old, New);
}

void DocumentDiffer::compareLimits(const Service &Old, const Service &New) {
  const auto CompareNumber = [&](const char *Property, std::uint32_t Before,
                                 std::uint32_t After) {
    compare(ChangeCategory::Targets, New.Name_.value(), Property,
            std::to_string(Before), std::to_string(After));
  };
  CompareNumber("slots-per-target", Old.SlotsPerTarget_, New.SlotsPerTarget_);
  CompareNumber("connections-per-target", Old.ConnectionsPerTarget_,
                New.ConnectionsPerTarget_);
  CompareNumber("probes-per-target-per-minute", Old.ProbesPerTargetPerMinute_,
                New.ProbesPerTargetPerMinute_);
  CompareNumber("cold-start/max-in-flight", Old.ColdStart_.MaxInFlight_,
                New.ColdStart_.MaxInFlight_);
  compare(ChangeCategory::Targets, New.Name_.value(), "cold-start/warmup",
          durationText(Old.ColdStart_.Warmup_),
          durationText(New.ColdStart_.Warmup_));
}

void DocumentDiffer::compareGroups(const Service &Old, const Service &New) {
  const std::string Prefix = New.Name_.value() + "/";
  mergeByKey(
      Old.Groups_, New.Groups_, NameGetter(),
      [&](const TargetGroup &OldGroup, const TargetGroup &NewGroup) {
        compare(ChangeCategory::Targets, Prefix + NewGroup.Name_.value(),
                "zone", OldGroup.Zone_.value(), NewGroup.Zone_.value());
      },
      [&](const TargetGroup &OldGroup) {
        add({ChangeCategory::Targets, Prefix + OldGroup.Name_.value(), "",
             OldGroup.Zone_.value(), "", ChangeEffect::StopsNewCalls});
      },
      [&](const TargetGroup &NewGroup) {
        add({ChangeCategory::Targets, Prefix + NewGroup.Name_.value(), "", "",
             NewGroup.Zone_.value(), ChangeEffect::StartsNewCalls});
      });
}

void DocumentDiffer::compareKinds(const Service &Old, const Service &New) {
  const std::string Prefix = New.Name_.value() + "/";
  mergeByKey(
      Old.Kinds_, New.Kinds_, NameGetter(),
      [&](const RequestKind &OldKind, const RequestKind &NewKind) {
        compareKind(Prefix + NewKind.Name_.value(), OldKind, NewKind);
      },
      [&](const RequestKind &OldKind) {
        add({ChangeCategory::Calls, Prefix + OldKind.Name_.value(), "",
             formatValue(OldKind), "", ChangeEffect::RefusesCalls});
      },
      [&](const RequestKind &NewKind) {
        add({ChangeCategory::Calls, Prefix + NewKind.Name_.value(), "", "",
             formatValue(NewKind), ChangeEffect::AcceptsCalls});
      });
}

void DocumentDiffer::compareKind(const std::string &Subject,
                                 const RequestKind &Old,
                                 const RequestKind &New) {
  compare(ChangeCategory::Calls, Subject, "path", formatValue(Old),
          formatValue(New), ChangeEffect::RefusesCalls);
  compare(ChangeCategory::Calls, Subject, "idempotent",
          formatValue(Old.IsIdempotent_), formatValue(New.IsIdempotent_),
          New.IsIdempotent_ ? ChangeEffect::AllowsRepeatedExecution
                            : ChangeEffect::None);
  compare(ChangeCategory::Calls, Subject, "urgency", formatValue(Old.Urgency_),
          formatValue(New.Urgency_));
  compare(ChangeCategory::Calls, Subject, "deadline",
          durationText(Old.Deadline_), durationText(New.Deadline_));
  compare(ChangeCategory::Calls, Subject, "hedging",
          formatValue(Old.IsHedgingAllowed_),
          formatValue(New.IsHedgingAllowed_));
  const bool AreKeysChecked =
      !Old_.Workspaces_.empty() && !New_.Workspaces_.empty();
  const ChangeEffect AccessEffect = New.IsAnonymousAllowed_
                                        ? ChangeEffect::ServesWithoutKey
                                        : ChangeEffect::RequiresKey;
  compare(ChangeCategory::Calls, Subject, "anonymous",
          formatValue(Old.IsAnonymousAllowed_),
          formatValue(New.IsAnonymousAllowed_),
          AreKeysChecked ? AccessEffect : ChangeEffect::None);
}

void DocumentDiffer::compareObjectives(const Service &Old, const Service &New) {
  const auto FormatSubject = [&](const Objective &Goal) {
    return New.Name_.value() + " " + formatValue(Goal.Urgency_);
  };
  mergeByKey(
      Old.Objectives_, New.Objectives_, UrgencyGetter(),
      [&](const Objective &OldObjective, const Objective &NewObjective) {
        compare(ChangeCategory::Objectives, FormatSubject(NewObjective),
                "objective", formatValue(OldObjective),
                formatValue(NewObjective));
      },
      [&](const Objective &OldObjective) {
        add({ChangeCategory::Objectives, FormatSubject(OldObjective), "",
             formatValue(OldObjective), "", ChangeEffect::None});
      },
      [&](const Objective &NewObjective) {
        add({ChangeCategory::Objectives, FormatSubject(NewObjective), "", "",
             formatValue(NewObjective), ChangeEffect::None});
      });
}

void DocumentDiffer::compareKeyRequirement() {
  const bool IsRequired = !New_.Workspaces_.empty();
  compare(ChangeCategory::Workspaces, "workspaces", "key required",
          formatValue(!Old_.Workspaces_.empty()), formatValue(IsRequired),
          IsRequired ? ChangeEffect::RequiresKey
                     : ChangeEffect::ServesWithoutKey);
}

void DocumentDiffer::compareWorkspaces() {
  const auto FormatSubject = [](const Workspace &Each) {
    return "workspace " + Each.Name_.value();
  };
  mergeByKey(
      Old_.Workspaces_, New_.Workspaces_, NameGetter(),
      [&](const Workspace &Old, const Workspace &New) {
        compareWorkspace(Old, New);
      },
      [&](const Workspace &Old) {
        add({ChangeCategory::Workspaces, FormatSubject(Old), "",
             formatValue(Old), "", keyEffect(Old, Workspace())});
      },
      [&](const Workspace &New) {
        add({ChangeCategory::Workspaces, FormatSubject(New), "", "",
             formatValue(New), keyEffect(Workspace(), New)});
      });
}

void DocumentDiffer::compareWorkspace(const Workspace &Old,
                                      const Workspace &New) {
  const std::string Subject = "workspace " + New.Name_.value();
  compareKeys(Old, New);
  compare(ChangeCategory::Workspaces, Subject, "priority",
          formatValue(Old.Priority_), formatValue(New.Priority_));
  compare(ChangeCategory::Workspaces, Subject, "quota", quotaText(Old.Quota_),
          quotaText(New.Quota_));
}

void DocumentDiffer::compareKeys(const Workspace &Old, const Workspace &New) {
  const std::size_t Removed =
      keysOnlyIn(Old.KeyDigests_, New.KeyDigests_).size();
  const std::size_t Added = keysOnlyIn(New.KeyDigests_, Old.KeyDigests_).size();
  if (Removed == 0 && Added == 0)
    return;
  add({ChangeCategory::Workspaces, "workspace " + New.Name_.value(),
       "key-digests", formatKeyCount(Old.KeyDigests_.size()),
       formatKeyCount(New.KeyDigests_.size()) + ", " + std::to_string(Added) +
           " added, " + std::to_string(Removed) + " removed",
       keyEffect(Old, New)});
}

ChangeEffect DocumentDiffer::keyEffect(const Workspace &Old,
                                       const Workspace &New) const {
  // Without workspaces no key is checked.
  if (New_.Workspaces_.empty())
    return ChangeEffect::None;
  if (!keysOnlyIn(Old.KeyDigests_, NewKeys_).empty())
    return ChangeEffect::RefusesKeys;
  if (!keysOnlyIn(New.KeyDigests_, OldKeys_).empty())
    return ChangeEffect::AcceptsKeys;
  return ChangeEffect::None;
}

bool DocumentDiffer::hasZoneInService(const EnvironmentDocument &Document,
                                      const Service &Candidate) const {
  return std::any_of(Candidate.Groups_.begin(), Candidate.Groups_.end(),
                     [&Document](const TargetGroup &Group) {
                       return std::any_of(
                           Document.Zones_.begin(), Document.Zones_.end(),
                           [&Group](const Zone &Each) {
                             return Each.Name_ == Group.Zone_ &&
                                    Each.State_ == ZoneState::InService;
                           });
                     });
}

void DocumentDiffer::findServicesWithoutZone() {
  for (const Service &Each : New_.Services_) {
    if (hasZoneInService(New_, Each))
      continue;
    const auto OldService = std::find_if(
        Old_.Services_.begin(), Old_.Services_.end(),
        [&Each](const Service &Other) { return Other.Name_ == Each.Name_; });
    if (OldService != Old_.Services_.end() &&
        hasZoneInService(Old_, *OldService))
      add({ChangeCategory::Calls, Each.Name_.value(), "zones in", "some",
           "none", ChangeEffect::LeavesServiceWithoutZone});
  }
}

std::vector<DocumentChange> diffDocuments(const EnvironmentDocument &Old,
                                          const EnvironmentDocument &New) {
  return DocumentDiffer(Old, New).run();
}

} // namespace cranberryspool::operations
