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

constexpr int ServiceColumnWidth = 20;
constexpr int UrgencyColumnWidth = 10;
constexpr int ObjectiveColumnWidth = 22;
constexpr int CallsColumnWidth = 12;
constexpr int RateColumnWidth = 16;

std::string_view urgencyText(document::Urgency Value) {
  return Value == document::Urgency::Urgent ? "urgent" : "ordinary";
}

std::string windowPairText(const BurnAlertRule &Rule) {
  return framework::durationText(Rule.ShortWindow_) + "/" +
         framework::durationText(Rule.LongWindow_);
}

std::string objectiveText(const document::Objective &Objective) {
  return framework::shareText(Objective.GoodPerMillion_) + " within " +
         framework::durationText(Objective.Latency_);
}

void writeBurnRates(const RuleEvaluation &Evaluation, std::ostream &Out) {
  Out << std::setw(RateColumnWidth / 2) << Evaluation.ShortBurnRate_ << '/'
      << std::left << std::setw(RateColumnWidth / 2 - 2)
      << Evaluation.LongBurnRate_ << std::right
      << (Evaluation.IsFiring_ ? '!' : ' ');
}

void writeTableRow(const ObjectiveReport &Report, std::ostream &Out) {
  const CallCount &LongestWindow = Report.Evaluations_.back().LongCount_;
  Out << std::left << std::setw(ServiceColumnWidth)
      << Report.Key_.Service_.value() << std::setw(UrgencyColumnWidth)
      << urgencyText(Report.Key_.Urgency_) << std::setw(ObjectiveColumnWidth)
      << objectiveText(Report.Objective_) << std::right
      << std::setw(CallsColumnWidth) << LongestWindow.Good_ + LongestWindow.Bad_
      << std::setw(CallsColumnWidth) << LongestWindow.Bad_;
  for (const RuleEvaluation &Evaluation : Report.Evaluations_)
    writeBurnRates(Evaluation, Out);
  Out << "  " << burnAlertName(Report.Alert_) << '\n';
}

json::string toJsonString(std::string_view Text) {
  return json::string(Text.data(), Text.size());
}

json::object countToJson(const CallCount &Count, double Rate) {
  return {{"good", Count.Good_}, {"bad", Count.Bad_}, {"burn-rate", Rate}};
}

json::object objectiveToJson(const ObjectiveReport &Report) {
  json::array Rules;
  for (std::size_t Index = 0; Index < BurnAlertRules.size(); ++Index) {
    const RuleEvaluation &Evaluation = Report.Evaluations_[Index];
    Rules.push_back(
        {{"windows", toJsonString(windowPairText(BurnAlertRules[Index]))},
         {"threshold", BurnAlertRules[Index].Threshold_},
         {"short",
          countToJson(Evaluation.ShortCount_, Evaluation.ShortBurnRate_)},
         {"long", countToJson(Evaluation.LongCount_, Evaluation.LongBurnRate_)},
         {"alarm", Evaluation.IsFiring_}});
  }
  return {{"service", toJsonString(Report.Key_.Service_.value())},
          {"urgency", toJsonString(urgencyText(Report.Key_.Urgency_))},
          {"objective", toJsonString(objectiveText(Report.Objective_))},
          {"windows", std::move(Rules)},
          {"verdict", toJsonString(burnAlertName(Report.Alert_))}};
}

} // namespace

void writeBurnText(const BurnReport &Report, std::ostream &Out) {
  const auto Flags = Out.flags();
  Out << std::fixed << std::setprecision(1) << std::left
      << std::setw(ServiceColumnWidth) << "service"
      << std::setw(UrgencyColumnWidth) << "urgency"
      << std::setw(ObjectiveColumnWidth) << "objective" << std::right
      << std::setw(CallsColumnWidth) << "calls" << std::setw(CallsColumnWidth)
      << "bad";
  for (const BurnAlertRule &Rule : BurnAlertRules)
    Out << std::setw(RateColumnWidth) << windowPairText(Rule);
  Out << "  verdict\n";
  for (const ObjectiveReport &Objective : Report.ObjectiveReports_)
    writeTableRow(Objective, Out);
  for (const ObjectiveKey &Key : Report.KeysWithoutObjective_)
    Out << Key.Service_.value() << ' ' << urgencyText(Key.Urgency_)
        << ": counted, but no objective covers it\n";
  Out << "overall: " << burnAlertName(Report.highestAlert()) << '\n';
  Out.flags(Flags);
}

void writeBurnJson(const BurnReport &Report, std::ostream &Out) {
  json::array Objectives;
  for (const ObjectiveReport &Objective : Report.ObjectiveReports_)
    Objectives.push_back(objectiveToJson(Objective));
  json::array KeysWithoutObjective;
  for (const ObjectiveKey &Key : Report.KeysWithoutObjective_)
    KeysWithoutObjective.push_back(
        {{"service", toJsonString(Key.Service_.value())},
         {"urgency", toJsonString(urgencyText(Key.Urgency_))}});
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
      Report.Now_.time_since_epoch());
  Out << json::serialize(json::object{
             {"time", Seconds.count()},
             {"verdict", toJsonString(burnAlertName(Report.highestAlert()))},
             {"objectives", std::move(Objectives)},
             {"without-objective", std::move(KeysWithoutObjective)}})
      << '\n';
}

} // namespace cranberryspool::report
