#include "report/computeburn.h"

#include <algorithm>
#include <set>

namespace cranberryspool::report {

namespace {

using framework::Duration;
using framework::WallTime;

/// Sums the calls of all buckets that end after the start of the window, and so
/// at least partly lie inside it.
CallCount sumCallsSince(const BurnInput &Input, const ObjectiveKey &Key,
                        WallTime WindowStart) {
  CallCount Sum;
  for (const CallCountBucket &Bucket : Input.Buckets_) {
    if (Bucket.Key_ == Key && Bucket.Start_ + Bucket.Width_ > WindowStart)
      Sum += Bucket.Count_;
  }
  return Sum;
}

RuleEvaluation evaluateRule(const BurnInput &Input,
                            const ObjectiveReport &Report,
                            const BurnAlertRule &Rule, WallTime Now) {
  RuleEvaluation Evaluation;
  Evaluation.ShortCount_ =
      sumCallsSince(Input, Report.Key_, Now - Rule.ShortWindow_);
  Evaluation.LongCount_ =
      sumCallsSince(Input, Report.Key_, Now - Rule.LongWindow_);
  Evaluation.ShortBurnRate_ =
      burnRate(Evaluation.ShortCount_, Report.Objective_.GoodPerMillion_);
  Evaluation.LongBurnRate_ =
      burnRate(Evaluation.LongCount_, Report.Objective_.GoodPerMillion_);
  Evaluation.IsFiring_ = Evaluation.ShortBurnRate_ >= Rule.Threshold_ &&
                         Evaluation.LongBurnRate_ >= Rule.Threshold_;
  return Evaluation;
}

/// Returns the highest alert whose rule fires, or `NoCalls` if no call ended in
/// the longest window.
BurnAlert highestFiringAlert(const ObjectiveReport &Report) {
  const CallCount &LongestWindow = Report.Evaluations_.back().LongCount_;
  if (LongestWindow.Good_ + LongestWindow.Bad_ == 0)
    return BurnAlert::NoCalls;
  BurnAlert Highest = BurnAlert::None;
  for (std::size_t Index = 0; Index < BurnAlertRules.size(); ++Index) {
    if (Report.Evaluations_[Index].IsFiring_)
      Highest = std::max(Highest, BurnAlertRules[Index].Alert_);
  }
  return Highest;
}

} // namespace

std::string_view burnAlertName(BurnAlert Alert) {
  switch (Alert) {
  case BurnAlert::NoCalls:
    return "no-calls";
  case BurnAlert::None:
    return "ok";
  case BurnAlert::Ticket:
    return "ticket";
  case BurnAlert::Page:
    return "page";
  }
  return "";
}

BurnAlert BurnReport::highestAlert() const {
  BurnAlert Highest = BurnAlert::NoCalls;
  for (const ObjectiveReport &Objective : ObjectiveReports_)
    Highest = std::max(Highest, Objective.Alert_);
  return Highest;
}

double burnRate(const CallCount &Count, std::uint32_t GoodPerMillion) {
  constexpr double Million = 1'000'000;
  const double Calls = static_cast<double>(Count.Good_ + Count.Bad_);
  if (Calls == 0)
    return 0;
  const double BadFraction = static_cast<double>(Count.Bad_) / Calls;
  return BadFraction * Million / (Million - GoodPerMillion);
}

WallTime latestBucketEnd(const BurnInput &Input) {
  WallTime Latest{};
  for (const CallCountBucket &Bucket : Input.Buckets_)
    Latest = std::max(Latest, Bucket.Start_ + Bucket.Width_);
  return Latest;
}

BurnReport computeBurnReport(const BurnInput &Input, WallTime Now) {
  BurnReport Report{Now, {}, {}};
  for (const auto &[Key, Objective] : Input.Objectives_) {
    ObjectiveReport Result{Key, Objective, {}, BurnAlert::NoCalls};
    for (std::size_t Index = 0; Index < BurnAlertRules.size(); ++Index)
      Result.Evaluations_[Index] =
          evaluateRule(Input, Result, BurnAlertRules[Index], Now);
    Result.Alert_ = highestFiringAlert(Result);
    Report.ObjectiveReports_.push_back(std::move(Result));
  }
  std::set<ObjectiveKey> KeysWithoutObjective;
  for (const CallCountBucket &Bucket : Input.Buckets_) {
    if (!Input.Objectives_.contains(Bucket.Key_))
      KeysWithoutObjective.insert(Bucket.Key_);
  }
  Report.KeysWithoutObjective_.assign(KeysWithoutObjective.begin(),
                                      KeysWithoutObjective.end());
  return Report;
}

} // namespace cranberryspool::report
