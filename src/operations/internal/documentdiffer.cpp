#include "operations/internal/documentdiffer.h"

#include "framework/units.h"
#include "operations/diffdocuments.h"

#include <algorithm>

namespace cranberryspool::operations {

namespace {

using document::EnvironmentDocument;
using document::Objective;
using document::RequestKind;
using document::Service;
using document::TargetGroup;
using document::Urgency;
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
    : Old_(Old), New_(New) {}

std::vector<DocumentChange> DocumentDiffer::run() {
  compare(ChangeCategory::Instances, "instances", "max-instances",
          std::to_string(Old_.MaxInstances_),
          std::to_string(New_.MaxInstances_));
  compare(ChangeCategory::Instances, "instances", "list-lag",
          durationText(Old_.ListLag_), durationText(New_.ListLag_));
  compareZones();
  compareServices();
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
