#include "report/computeburn.h"
#include "report/writeburn.h"

#include "framework/units.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <vector>

namespace cranberryspool::report {

namespace {

using framework::Duration;
using framework::WallTime;

constexpr int LabelWidth = 230;
constexpr int PlotWidth = 600;
constexpr int PanelHeight = 90;
constexpr int PlotHeight = 60;
constexpr int Margin = 20;
constexpr int Points = 120;
constexpr double HighestRate = 20;
constexpr Duration LeastStep = std::chrono::seconds(10);

/// The time axis, shared by all panels.
struct Axis {
  WallTime Start_;
  Duration Step_;
};

Axis axisFor(const BurnInput &Input, WallTime Now) {
  WallTime Earliest = Now;
  for (const BurnRow &Each : Input.Rows_)
    Earliest = std::min(Earliest, Each.Start_);
  Earliest = std::max(Earliest, Now - BurnWindows.back().Long_);
  const Duration Step = std::max(LeastStep, (Now - Earliest) / Points);
  return {Now - Step * Points, Step};
}

std::vector<CallCount> countsOf(const BurnInput &Input, const ObjectiveKey &Key,
                                const Axis &Time) {
  std::vector<CallCount> Counts(Points);
  for (const BurnRow &Each : Input.Rows_) {
    if (Each.Key_ != Key || Each.Start_ < Time.Start_)
      continue;
    const auto At =
        static_cast<std::size_t>((Each.Start_ - Time.Start_) / Time.Step_);
    if (At < Counts.size())
      Counts[At] += Each.Count_;
  }
  return Counts;
}

std::string escaped(const std::string &Text) {
  std::string Result;
  for (const char Character : Text) {
    switch (Character) {
    case '<':
      Result += "&lt;";
      break;
    case '>':
      Result += "&gt;";
      break;
    case '&':
      Result += "&amp;";
      break;
    default:
      Result += Character;
    }
  }
  return Result;
}

const char *colourOf(BurnAlert Alarm) {
  switch (Alarm) {
  case BurnAlert::NoCalls:
    return "#888888";
  case BurnAlert::None:
    return "#2e7d32";
  case BurnAlert::Ticket:
    return "#ef6c00";
  case BurnAlert::Page:
    return "#c62828";
  }
  return "#888888";
}

double heightOf(double Rate) {
  return PlotHeight * (1 - std::min(Rate, HighestRate) / HighestRate);
}

void writeThresholds(double Top, std::ostream &Out) {
  for (const BurnWindow &Each : BurnWindows) {
    const double Height = Top + heightOf(Each.Threshold_);
    Out << "<line x1=\"" << LabelWidth << "\" x2=\"" << LabelWidth + PlotWidth
        << "\" y1=\"" << Height << "\" y2=\"" << Height
        << "\" stroke=\"#bbbbbb\" stroke-dasharray=\"4 3\"/>"
        << "<text x=\"" << LabelWidth + PlotWidth + 4 << "\" y=\"" << Height + 3
        << "\" font-size=\"9\">" << Each.Threshold_ << "</text>\n";
  }
}

void writeCurve(const BurnLine &Line, const std::vector<CallCount> &Counts,
                double Top, std::ostream &Out) {
  constexpr double StepWidth = static_cast<double>(PlotWidth) / Points;
  Out << "<polyline fill=\"none\" stroke=\"" << colourOf(Line.Alarm_)
      << "\" stroke-width=\"1.5\" points=\"";
  for (std::size_t At = 0; At < Counts.size(); ++At) {
    const double Rate = burnRate(Counts[At], Line.Objective_.GoodPerMillion_);
    Out << LabelWidth + (static_cast<double>(At) + 0.5) * StepWidth << ','
        << Top + heightOf(Rate) << ' ';
  }
  Out << "\"/>\n";
}

void writePanel(const BurnInput &Input, const BurnLine &Line, const Axis &Time,
                double Top, std::ostream &Out) {
  const bool IsUrgent = Line.Key_.Urgency_ == document::Urgency::Urgent;
  Out << "<text x=\"10\" y=\"" << Top + 15 << "\" font-weight=\"bold\">"
      << escaped(Line.Key_.Service_.value())
      << (IsUrgent ? " urgent" : " ordinary") << "</text>\n<text x=\"10\" y=\""
      << Top + 32 << "\">"
      << framework::shareText(Line.Objective_.GoodPerMillion_) << " within "
      << framework::durationText(Line.Objective_.Latency_)
      << "</text>\n<text x=\"10\" y=\"" << Top + 49 << "\" fill=\""
      << colourOf(Line.Alarm_) << "\">" << burnAlarmName(Line.Alarm_)
      << "</text>\n<rect x=\"" << LabelWidth << "\" y=\"" << Top
      << "\" width=\"" << PlotWidth << "\" height=\"" << PlotHeight
      << "\" fill=\"none\" stroke=\"#666666\"/>\n";
  writeThresholds(Top, Out);
  writeCurve(Line, countsOf(Input, Line.Key_, Time), Top, Out);
}

} // namespace

void writeBurnSvg(const BurnInput &Input, const BurnReport &Report,
                  std::ostream &Out) {
  const Axis Time = axisFor(Input, Report.Now_);
  const auto Panels = static_cast<int>(Report.Lines_.size());
  const int Height = 3 * Margin + Panels * PanelHeight;
  Out << std::fixed << std::setprecision(1)
      << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << LabelWidth + PlotWidth + 3 * Margin << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"10\" y=\"" << Margin << "\">Burn rate of the error budget, "
      << Points << " steps of "
      << framework::durationText(
             std::chrono::duration_cast<std::chrono::seconds>(Time.Step_))
      << " up to now</text>\n";
  double Top = 2 * Margin;
  for (const BurnLine &Each : Report.Lines_) {
    writePanel(Input, Each, Time, Top, Out);
    Top += PanelHeight;
  }
  Out << "</svg>\n";
}

} // namespace cranberryspool::report
