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

constexpr int LabelColumnWidth = 230;
constexpr int PlotWidth = 600;
constexpr int PanelHeight = 90;
constexpr int PlotHeight = 60;
constexpr int Margin = 20;
constexpr int PointCount = 120;
/// Burn rates above this one are drawn at the top edge of the plot.
constexpr double MaxPlottedRate = 20;
/// A step is at least as long as a fine bucket of `CallCounters`.
constexpr Duration MinStep = std::chrono::seconds(10);

/// The time axis, which all panels share.
struct TimeAxis {
  WallTime Start_;
  Duration Step_;
};

/// Returns an axis that ends at `Now` and reaches back to the earliest bucket,
/// but no further than the longest window of the alert rules.
TimeAxis makeTimeAxis(const BurnInput &Input, WallTime Now) {
  WallTime Earliest = Now;
  for (const CallCountBucket &Bucket : Input.Buckets_)
    Earliest = std::min(Earliest, Bucket.Start_);
  Earliest = std::max(Earliest, Now - BurnAlertRules.back().LongWindow_);
  const Duration Step = std::max(MinStep, (Now - Earliest) / PointCount);
  return {Now - Step * PointCount, Step};
}

std::vector<CallCount> countCallsPerStep(const BurnInput &Input,
                                         const ObjectiveKey &Key,
                                         const TimeAxis &Axis) {
  std::vector<CallCount> Counts(PointCount);
  for (const CallCountBucket &Bucket : Input.Buckets_) {
    if (Bucket.Key_ != Key || Bucket.Start_ < Axis.Start_)
      continue;
    const auto Index =
        static_cast<std::size_t>((Bucket.Start_ - Axis.Start_) / Axis.Step_);
    if (Index < Counts.size())
      Counts[Index] += Bucket.Count_;
  }
  return Counts;
}

std::string escapeXml(const std::string &Text) {
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

const char *alertColour(BurnAlert Alert) {
  switch (Alert) {
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

/// Returns the distance of a burn rate from the top edge of the plot.
double rateToY(double Rate) {
  return PlotHeight * (1 - std::min(Rate, MaxPlottedRate) / MaxPlottedRate);
}

void writeThresholds(double Top, std::ostream &Out) {
  for (const BurnAlertRule &Rule : BurnAlertRules) {
    const double Y = Top + rateToY(Rule.Threshold_);
    Out << "<line x1=\"" << LabelColumnWidth << "\" x2=\""
        << LabelColumnWidth + PlotWidth << "\" y1=\"" << Y << "\" y2=\"" << Y
        << "\" stroke=\"#bbbbbb\" stroke-dasharray=\"4 3\"/>"
        << "<text x=\"" << LabelColumnWidth + PlotWidth + 4 << "\" y=\""
        << Y + 3 << "\" font-size=\"9\">" << Rule.Threshold_ << "</text>\n";
  }
}

void writeCurve(const ObjectiveReport &Report,
                const std::vector<CallCount> &Counts, double Top,
                std::ostream &Out) {
  constexpr double StepWidth = static_cast<double>(PlotWidth) / PointCount;
  Out << "<polyline fill=\"none\" stroke=\"" << alertColour(Report.Alert_)
      << "\" stroke-width=\"1.5\" points=\"";
  for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
    const double Rate =
        burnRate(Counts[Index], Report.Objective_.GoodPerMillion_);
    Out << LabelColumnWidth + (static_cast<double>(Index) + 0.5) * StepWidth
        << ',' << Top + rateToY(Rate) << ' ';
  }
  Out << "\"/>\n";
}

void writePanel(const BurnInput &Input, const ObjectiveReport &Report,
                const TimeAxis &Axis, double Top, std::ostream &Out) {
  const bool IsUrgent = Report.Key_.Urgency_ == document::Urgency::Urgent;
  Out << "<text x=\"10\" y=\"" << Top + 15 << "\" font-weight=\"bold\">"
      << escapeXml(Report.Key_.Service_.value())
      << (IsUrgent ? " urgent" : " ordinary") << "</text>\n<text x=\"10\" y=\""
      << Top + 32 << "\">"
      << framework::shareText(Report.Objective_.GoodPerMillion_) << " within "
      << framework::durationText(Report.Objective_.Latency_)
      << "</text>\n<text x=\"10\" y=\"" << Top + 49 << "\" fill=\""
      << alertColour(Report.Alert_) << "\">" << burnAlertName(Report.Alert_)
      << "</text>\n<rect x=\"" << LabelColumnWidth << "\" y=\"" << Top
      << "\" width=\"" << PlotWidth << "\" height=\"" << PlotHeight
      << "\" fill=\"none\" stroke=\"#666666\"/>\n";
  writeThresholds(Top, Out);
  writeCurve(Report, countCallsPerStep(Input, Report.Key_, Axis), Top, Out);
}

} // namespace

void writeBurnSvg(const BurnInput &Input, const BurnReport &Report,
                  std::ostream &Out) {
  const TimeAxis Axis = makeTimeAxis(Input, Report.Now_);
  const auto Panels = static_cast<int>(Report.ObjectiveReports_.size());
  const int Height = 3 * Margin + Panels * PanelHeight;
  Out << std::fixed << std::setprecision(1)
      << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << LabelColumnWidth + PlotWidth + 3 * Margin << "\" height=\"" << Height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"10\" y=\"" << Margin << "\">Burn rate of the error budget, "
      << PointCount << " steps of "
      << framework::durationText(
             std::chrono::duration_cast<std::chrono::seconds>(Axis.Step_))
      << " up to now</text>\n";
  double Top = 2 * Margin;
  for (const ObjectiveReport &Objective : Report.ObjectiveReports_) {
    writePanel(Input, Objective, Axis, Top, Out);
    Top += PanelHeight;
  }
  Out << "</svg>\n";
}

} // namespace cranberryspool::report
