#include "report/computeburn.h"

#include <algorithm>
#include <set>

namespace cranberryspool::report {

namespace {

using framework::Duration;
using framework::WallTime;

CallCount countSince(const BurnInput &Input, const ObjectiveKey &Key,
                     WallTime Since) {
  CallCount Sum;
  for (const BurnRow &Each : Input.Rows_) {
    if (Each.Key_ == Key && Each.Start_ + Each.Width_ > Since)
      Sum += Each.Count_;
  }
  return Sum;
}

WindowBurn burnOver(const BurnInput &Input, const BurnLine &Line,
                    const BurnWindow &Window, WallTime Now) {
  WindowBurn Burn;
  Burn.Short_ = countSince(Input, Line.Key_, Now - Window.Short_);
  Burn.Long_ = countSince(Input, Line.Key_, Now - Window.Long_);
  Burn.ShortRate_ = burnRate(Burn.Short_, Line.Objective_.GoodPerMillion_);
  Burn.LongRate_ = burnRate(Burn.Long_, Line.Objective_.GoodPerMillion_);
  Burn.IsAlarm_ = Burn.ShortRate_ >= Window.Threshold_ &&
                  Burn.LongRate_ >= Window.Threshold_;
  return Burn;
}

BurnAlert verdictOf(const BurnLine &Line) {
  const CallCount &Longest = Line.Windows_.back().Long_;
  if (Longest.Good_ + Longest.Bad_ == 0)
    return BurnAlert::NoCalls;
  BurnAlert Worst = BurnAlert::None;
  for (std::size_t At = 0; At < BurnWindows.size(); ++At) {
    if (Line.Windows_[At].IsAlarm_)
      Worst = std::max(Worst, BurnWindows[At].Alarm_);
  }
  return Worst;
}

} // namespace

std::string_view burnAlarmName(BurnAlert Alarm) {
  switch (Alarm) {
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
  BurnAlert Worst = BurnAlert::NoCalls;
  for (const BurnLine &Each : Lines_)
    Worst = std::max(Worst, Each.Alarm_);
  return Worst;
}

double burnRate(const CallCount &Count, std::uint32_t GoodPerMillion) {
  constexpr double Million = 1'000'000;
  const double Calls = static_cast<double>(Count.Good_ + Count.Bad_);
  if (Calls == 0)
    return 0;
  const double BadShare = static_cast<double>(Count.Bad_) / Calls;
  return BadShare * Million / (Million - GoodPerMillion);
}

WallTime latestBucketEnd(const BurnInput &Input) {
  WallTime Latest{};
  for (const BurnRow &Each : Input.Rows_)
    Latest = std::max(Latest, Each.Start_ + Each.Width_);
  return Latest;
}

BurnReport computeBurnReport(const BurnInput &Input, WallTime Now) {
  BurnReport Report{Now, {}, {}};
  for (const auto &[Key, Goal] : Input.Objectives_) {
    BurnLine Line{Key, Goal, {}, BurnAlert::NoCalls};
    for (std::size_t At = 0; At < BurnWindows.size(); ++At)
      Line.Windows_[At] = burnOver(Input, Line, BurnWindows[At], Now);
    Line.Alarm_ = verdictOf(Line);
    Report.Lines_.push_back(std::move(Line));
  }
  std::set<ObjectiveKey> Uncovered;
  for (const BurnRow &Each : Input.Rows_) {
    if (!Input.Objectives_.contains(Each.Key_))
      Uncovered.insert(Each.Key_);
  }
  Report.WithoutObjective_.assign(Uncovered.begin(), Uncovered.end());
  return Report;
}

} // namespace cranberryspool::report
