#include "report/writeburn.h"

#include "framework/units.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <ostream>

namespace cranberryspool::report {

namespace {

namespace json = boost::json;

constexpr int ServiceWidth = 20;
constexpr int UrgencyWidth = 10;
constexpr int ObjectiveWidth = 22;
constexpr int CallsWidth = 12;
constexpr int RateWidth = 16;

std::string_view urgencyText(document::Urgency Value) {
  return Value == document::Urgency::Urgent ? "urgent" : "ordinary";
}

std::string windowName(const BurnWindow &Window) {
  return framework::durationText(Window.Short_) + "/" +
         framework::durationText(Window.Long_);
}

std::string objectiveText(const document::Objective &Goal) {
  return framework::shareText(Goal.GoodPerMillion_) + " within " +
         framework::durationText(Goal.Latency_);
}

void writeRates(const WindowBurn &Burn, std::ostream &Out) {
  Out << std::setw(RateWidth / 2) << Burn.ShortRate_ << '/' << std::left
      << std::setw(RateWidth / 2 - 2) << Burn.LongRate_ << std::right
      << (Burn.IsAlarm_ ? '!' : ' ');
}

void writeLine(const BurnLine &Line, std::ostream &Out) {
  const CallCount &Longest = Line.Windows_.back().Long_;
  Out << std::left << std::setw(ServiceWidth) << Line.Key_.Service_.value()
      << std::setw(UrgencyWidth) << urgencyText(Line.Key_.Urgency_)
      << std::setw(ObjectiveWidth) << objectiveText(Line.Objective_)
      << std::right << std::setw(CallsWidth) << Longest.Good_ + Longest.Bad_
      << std::setw(CallsWidth) << Longest.Bad_;
  for (const WindowBurn &Each : Line.Windows_)
    writeRates(Each, Out);
  Out << "  " << burnAlarmName(Line.Alarm_) << '\n';
}

json::string view(std::string_view Text) {
  return json::string(Text.data(), Text.size());
}

json::object countObject(const CallCount &Count, double Rate) {
  return {{"good", Count.Good_}, {"bad", Count.Bad_}, {"burn-rate", Rate}};
}

json::object lineObject(const BurnLine &Line) {
  json::array Windows;
  for (std::size_t At = 0; At < BurnWindows.size(); ++At) {
    const WindowBurn &Burn = Line.Windows_[At];
    Windows.push_back({{"windows", view(windowName(BurnWindows[At]))},
                       {"threshold", BurnWindows[At].Threshold_},
                       {"short", countObject(Burn.Short_, Burn.ShortRate_)},
                       {"long", countObject(Burn.Long_, Burn.LongRate_)},
                       {"alarm", Burn.IsAlarm_}});
  }
  return {{"service", view(Line.Key_.Service_.value())},
          {"urgency", view(urgencyText(Line.Key_.Urgency_))},
          {"objective", view(objectiveText(Line.Objective_))},
          {"windows", std::move(Windows)},
          {"verdict", view(burnAlarmName(Line.Alarm_))}};
}

} // namespace

void writeBurnText(const BurnReport &Report, std::ostream &Out) {
  const auto Flags = Out.flags();
  Out << std::fixed << std::setprecision(1) << std::left
      << std::setw(ServiceWidth) << "service" << std::setw(UrgencyWidth)
      << "urgency" << std::setw(ObjectiveWidth) << "objective" << std::right
      << std::setw(CallsWidth) << "calls" << std::setw(CallsWidth) << "bad";
  for (const BurnWindow &Each : BurnWindows)
    Out << std::setw(RateWidth) << windowName(Each);
  Out << "  verdict\n";
  for (const BurnLine &Each : Report.Lines_)
    writeLine(Each, Out);
  for (const ObjectiveKey &Each : Report.WithoutObjective_)
    Out << Each.Service_.value() << ' ' << urgencyText(Each.Urgency_)
        << ": counted, but no objective covers it\n";
  Out << "overall: " << burnAlarmName(Report.highestAlert()) << '\n';
  Out.flags(Flags);
}

void writeBurnJson(const BurnReport &Report, std::ostream &Out) {
  json::array Lines;
  for (const BurnLine &Each : Report.Lines_)
    Lines.push_back(lineObject(Each));
  json::array Uncovered;
  for (const ObjectiveKey &Each : Report.WithoutObjective_)
    Uncovered.push_back({{"service", view(Each.Service_.value())},
                         {"urgency", view(urgencyText(Each.Urgency_))}});
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
      Report.Now_.time_since_epoch());
  Out << json::serialize(json::object{
             {"time", Seconds.count()},
             {"verdict", view(burnAlarmName(Report.highestAlert()))},
             {"objectives", std::move(Lines)},
             {"without-objective", std::move(Uncovered)}})
      << '\n';
}

} // namespace cranberryspool::report
