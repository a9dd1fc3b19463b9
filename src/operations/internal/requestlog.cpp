#include "operations/internal/requestlog.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;

constexpr std::string_view TargetEventPrefix = "target-";
/// Events of this period before the request may explain its target selection.
constexpr int LookBackSeconds = 1;
/// Position of the time of day in a timestamp like `2026-01-24T22:07:43.058Z`.
constexpr std::size_t TimeOfDayOffset = 11;
constexpr std::size_t TimeOfDayLength = 12;
/// Enough for the shortest decimal form of any `double`.
constexpr std::size_t MaxNumberLength = 32;
constexpr int SecondsPerMinute = 60;
constexpr int MinutesPerHour = 60;

std::optional<json::object> parseLogLine(std::string_view Line) {
  const std::size_t Start = Line.find('{');
  if (Start == std::string_view::npos)
    return std::nullopt;
  json::error_code Error;
  json::value Parsed = json::parse(
      json::string_view(Line.data() + Start, Line.size() - Start), Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  return std::move(Parsed.get_object());
}

double parseNumber(std::string_view Text) {
  double Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// Returns the seconds since midnight. Dates are ignored: the compared logs are
/// expected to be from the same day.
double secondsSinceMidnight(const json::object &Line) {
  const std::string Time = fieldText(Line, "time");
  if (Time.size() < TimeOfDayOffset + TimeOfDayLength)
    return 0;
  const std::string_view TimeOfDay =
      std::string_view(Time).substr(TimeOfDayOffset, TimeOfDayLength);
  return (parseNumber(TimeOfDay.substr(0, 2)) * MinutesPerHour +
          parseNumber(TimeOfDay.substr(3, 2))) *
             SecondsPerMinute +
         parseNumber(TimeOfDay.substr(6));
}

void sortByTime(std::vector<json::object> &Lines) {
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const json::object &Left, const json::object &Right) {
                     return fieldText(Left, "time") < fieldText(Right, "time");
                   });
}

} // namespace

std::string fieldText(const json::object &Line, std::string_view Name) {
  const json::value *Member =
      Line.if_contains(json::string_view(Name.data(), Name.size()));
  if (!Member)
    return {};
  if (Member->is_string())
    return std::string(Member->get_string());
  if (!Member->is_double())
    return json::serialize(*Member);
  std::array<char, MaxNumberLength> Digits;
  const auto End =
      std::to_chars(Digits.begin(), Digits.end(), Member->get_double()).ptr;
  return {Digits.begin(), End};
}

void RequestLog::addLines(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const bool IsRequestMentioned =
        Line.find(RequestId_) != std::string_view::npos;
    if (!IsRequestMentioned &&
        Line.find(TargetEventPrefix) == std::string_view::npos)
      continue;
    auto Parsed = parseLogLine(Line);
    if (!Parsed)
      continue;
    if (fieldText(*Parsed, "request") == RequestId_)
      RequestLines_.push_back(std::move(*Parsed));
    else if (fieldText(*Parsed, "event").starts_with(TargetEventPrefix))
      TargetEvents_.push_back(std::move(*Parsed));
  }
}

std::vector<json::object> RequestLog::requestLines() const {
  std::vector<json::object> Lines = RequestLines_;
  sortByTime(Lines);
  return Lines;
}

std::vector<json::object> RequestLog::targetEvents() const {
  std::vector<json::object> Lines;
  const std::vector<json::object> SortedLines = requestLines();
  if (SortedLines.empty())
    return Lines;
  std::set<std::string> Targets;
  for (const json::object &Each : SortedLines)
    Targets.insert(fieldText(Each, "target"));
  const double From =
      secondsSinceMidnight(SortedLines.front()) - LookBackSeconds;
  const double End = secondsSinceMidnight(SortedLines.back());
  for (const json::object &Each : TargetEvents_)
    if (Targets.contains(fieldText(Each, "subject")) &&
        secondsSinceMidnight(Each) >= From && secondsSinceMidnight(Each) <= End)
      Lines.push_back(Each);
  sortByTime(Lines);
  return Lines;
}

} // namespace cranberryspool::operations
