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

std::string text(ZoneState Value) {
  return Value == ZoneState::InService ? "in" : "out";
}

std::string text(Urgency Value) {
  return Value == Urgency::Urgent ? "urgent" : "ordinary";
}

std::string text(bool Value) { return Value ? "true" : "false"; }

std::string text(const RequestKind &Kind) {
  return Kind.Method_ + " " + Kind.PathPattern_;
}

std::string text(const Objective &Goal) {
  return shareText(Goal.GoodPerMillion_) + " within " +
         durationText(Goal.Latency_);
}

/// Calls `WhenBoth(old, new)`, `WhenGone(old)` or `WhenNew(new)` for each
/// element of two lists sorted by `KeyFor`.
template <typename Item, typename KeyOf, typename Both, typename Gone,
          typename Fresh>
void pairUp(const std::vector<Item> &Old, const std::vector<Item> &New,
            KeyOf KeyFor, Both WhenBoth, Gone WhenGone, Fresh WhenNew) {
  auto Left = Old.begin();
  auto Right = New.begin();
  while (Left != Old.end() || Right != New.end()) {
    const bool TakesLeft =
        Right == New.end() ||
        (Left != Old.end() && !(KeyFor(*Right) < KeyFor(*Left)));
    const bool TakesRight =
        Left == Old.end() ||
        (Right != New.end() && !(KeyFor(*Left) < KeyFor(*Right)));
    if (TakesLeft && TakesRight)
      WhenBoth(*Left, *Right);
    else if (TakesLeft)
      WhenGone(*Left);
    else
      WhenNew(*Right);
    if (TakesLeft)
      ++Left;
    if (TakesRight)
      ++Right;
  }
}

struct NameOf {
  template <typename Item> const auto &operator()(const Item &Each) const {
    return Each.Name_;
  }
};

struct UrgencyOf {
  Urgency operator()(const Objective &Each) const { return Each.Urgency_; }
};

} // namespace

DocumentDiffer::DocumentDiffer(const EnvironmentDocument &Old,
                               const EnvironmentDocument &New)
    : Old_(Old), New_(New) {}

std::vector<DocumentChange> DocumentDiffer::run() {
  compare(ChangeConcern::Instances, "instances", "max-instances",
          std::to_string(Old_.MaxInstances_),
          std::to_string(New_.MaxInstances_));
  compare(ChangeConcern::Instances, "instances", "list-lag",
          durationText(Old_.ListLag_), durationText(New_.ListLag_));
  compareZones();
  compareServices();
  findServicesWithoutZone();
  std::stable_sort(Changes_.begin(), Changes_.end(),
                   [](const DocumentChange &Left, const DocumentChange &Right) {
                     return Left.Concern_ < Right.Concern_;
                   });
  return std::move(Changes_);
}

void DocumentDiffer::add(DocumentChange Change) {
  Changes_.push_back(std::move(Change));
}

void DocumentDiffer::compare(ChangeConcern Concern, const std::string &Subject,
                             const std::string &Property, std::string Before,
                             std::string After, ChangeEffect Effect) {
  if (Before != After)
    add({Concern, Subject, Property, std::move(Before), std::move(After),
         Effect});
}

void DocumentDiffer::compareZones() {
  pairUp(
      Old_.Zones_, New_.Zones_, NameOf(),
      [this](const Zone &Old, const Zone &New) {
        compare(ChangeConcern::Zones, "zone " + New.Name_.value(), "state",
                text(Old.State_), text(New.State_),
                New.State_ == ZoneState::OutOfService
                    ? ChangeEffect::StopsNewWork
                    : ChangeEffect::StartsNewWork);
      },
      [this](const Zone &Old) {
        add({ChangeConcern::Zones, "zone " + Old.Name_.value(), "",
             text(Old.State_), "", ChangeEffect::StopsNewWork});
      },
      [this](const Zone &New) {
        add({ChangeConcern::Zones, "zone " + New.Name_.value(), "", "",
             text(New.State_), ChangeEffect::None});
      });
}

void DocumentDiffer::compareServices() {
  const Service None;
  pairUp(
      Old_.Services_, New_.Services_, NameOf(),
      [this](const Service &Old, const Service &New) {
        compareService(Old, New);
        compareLimits(Old, New);
      },
      [this, &None](const Service &Old) {
        Service Gone = None;
        Gone.Name_ = Old.Name_;
        compareService(Old, Gone);
      },
      [this, &None](const Service &New) {
        Service Fresh = None;
        Fresh.Name_ = New.Name_;
        compareService(Fresh, New);
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
    compare(ChangeConcern::Targets, New.Name_.value(), Property,
            std::to_string(Before), std::to_string(After));
  };
  CompareNumber("slots-per-target", Old.SlotsPerTarget_, New.SlotsPerTarget_);
  CompareNumber("connections-per-target", Old.ConnectionsPerTarget_,
                New.ConnectionsPerTarget_);
  CompareNumber("probes-per-target-per-minute", Old.ProbesPerTargetPerMinute_,
                New.ProbesPerTargetPerMinute_);
  CompareNumber("cold-start/max-in-flight", Old.ColdStart_.MaxInFlight_,
                New.ColdStart_.MaxInFlight_);
  compare(ChangeConcern::Targets, New.Name_.value(), "cold-start/warmup",
          durationText(Old.ColdStart_.Warmup_),
          durationText(New.ColdStart_.Warmup_));
}

void DocumentDiffer::compareGroups(const Service &Old, const Service &New) {
  const std::string Prefix = New.Name_.value() + "/";
  pairUp(
      Old.Groups_, New.Groups_, NameOf(),
      [&](const TargetGroup &Left, const TargetGroup &Right) {
        compare(ChangeConcern::Targets, Prefix + Right.Name_.value(), "zone",
                Left.Zone_.value(), Right.Zone_.value());
      },
      [&](const TargetGroup &Left) {
        add({ChangeConcern::Targets, Prefix + Left.Name_.value(), "",
             Left.Zone_.value(), "", ChangeEffect::StopsNewWork});
      },
      [&](const TargetGroup &Right) {
        add({ChangeConcern::Targets, Prefix + Right.Name_.value(), "", "",
             Right.Zone_.value(), ChangeEffect::StartsNewWork});
      });
}

void DocumentDiffer::compareKinds(const Service &Old, const Service &New) {
  const std::string Prefix = New.Name_.value() + "/";
  pairUp(
      Old.Kinds_, New.Kinds_, NameOf(),
      [&](const RequestKind &Left, const RequestKind &Right) {
        compareKind(Prefix + Right.Name_.value(), Left, Right);
      },
      [&](const RequestKind &Left) {
        add({ChangeConcern::Calls, Prefix + Left.Name_.value(), "", text(Left),
             "", ChangeEffect::RefusesCalls});
      },
      [&](const RequestKind &Right) {
        add({ChangeConcern::Calls, Prefix + Right.Name_.value(), "", "",
             text(Right), ChangeEffect::AcceptsCalls});
      });
}

void DocumentDiffer::compareKind(const std::string &Subject,
                                 const RequestKind &Old,
                                 const RequestKind &New) {
  compare(ChangeConcern::Calls, Subject, "path", text(Old), text(New),
          ChangeEffect::RefusesCalls);
  compare(ChangeConcern::Calls, Subject, "idempotent", text(Old.IsIdempotent_),
          text(New.IsIdempotent_),
          New.IsIdempotent_ ? ChangeEffect::AllowsRepeats : ChangeEffect::None);
  compare(ChangeConcern::Calls, Subject, "urgency", text(Old.Urgency_),
          text(New.Urgency_));
  compare(ChangeConcern::Calls, Subject, "deadline",
          durationText(Old.Deadline_), durationText(New.Deadline_));
  compare(ChangeConcern::Calls, Subject, "hedging", text(Old.IsHedgingAllowed_),
          text(New.IsHedgingAllowed_));
}

void DocumentDiffer::compareObjectives(const Service &Old, const Service &New) {
  const auto SubjectOf = [&](const Objective &Goal) {
    return New.Name_.value() + " " + text(Goal.Urgency_);
  };
  pairUp(
      Old.Objectives_, New.Objectives_, UrgencyOf(),
      [&](const Objective &Left, const Objective &Right) {
        compare(ChangeConcern::Objectives, SubjectOf(Right), "objective",
                text(Left), text(Right));
      },
      [&](const Objective &Left) {
        add({ChangeConcern::Objectives, SubjectOf(Left), "", text(Left), "",
             ChangeEffect::None});
      },
      [&](const Objective &Right) {
        add({ChangeConcern::Objectives, SubjectOf(Right), "", "", text(Right),
             ChangeEffect::None});
      });
}

bool DocumentDiffer::hasZone(const EnvironmentDocument &Document,
                             const Service &Owner) const {
  return std::any_of(Owner.Groups_.begin(), Owner.Groups_.end(),
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
    if (hasZone(New_, Each))
      continue;
    const auto Before = std::find_if(
        Old_.Services_.begin(), Old_.Services_.end(),
        [&Each](const Service &Other) { return Other.Name_ == Each.Name_; });
    if (Before != Old_.Services_.end() && hasZone(Old_, *Before))
      add({ChangeConcern::Calls, Each.Name_.value(), "zones in", "some", "none",
           ChangeEffect::LeavesServiceWithoutZone});
  }
}

std::vector<DocumentChange> diffDocuments(const EnvironmentDocument &Old,
                                          const EnvironmentDocument &New) {
  return DocumentDiffer(Old, New).run();
}

} // namespace cranberryspool::operations
