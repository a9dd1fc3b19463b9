#include "operations/internal/loglines.h"

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

constexpr std::string_view BeliefPrefix = "target-";
/// Beliefs of the second before a request may have led to its choices.
constexpr int SecondsBefore = 1;
/// `2026-01-24T22:07:43.058Z`: where hours, minutes and seconds stand.
constexpr std::size_t TimeOfDayAt = 11;
constexpr std::size_t TimeOfDayLength = 12;
/// The longest text of a number.
constexpr std::size_t NumberLength = 32;
constexpr int SecondsPerMinute = 60;
constexpr int MinutesPerHour = 60;

std::optional<json::object> readLine(std::string_view Line) {
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

double number(std::string_view Text) {
  double Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// Seconds since midnight; logs that are compared are of one day.
double secondsOf(const json::object &Line) {
  const std::string Time = fieldText(Line, "time");
  if (Time.size() < TimeOfDayAt + TimeOfDayLength)
    return 0;
  const std::string_view Part =
      std::string_view(Time).substr(TimeOfDayAt, TimeOfDayLength);
  return (number(Part.substr(0, 2)) * MinutesPerHour +
          number(Part.substr(3, 2))) *
             SecondsPerMinute +
         number(Part.substr(6));
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
  std::array<char, NumberLength> Digits;
  const auto End =
      std::to_chars(Digits.begin(), Digits.end(), Member->get_double()).ptr;
  return {Digits.begin(), End};
}

void LogLines::take(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    const bool IsOwn = Line.find(Request_) != std::string_view::npos;
    if (!IsOwn && Line.find(BeliefPrefix) == std::string_view::npos)
      continue;
    auto Read = readLine(Line);
    if (!Read)
      continue;
    if (fieldText(*Read, "request") == Request_)
      Own_.push_back(std::move(*Read));
    else if (fieldText(*Read, "event").starts_with(BeliefPrefix))
      Beliefs_.push_back(std::move(*Read));
  }
}

std::vector<json::object> LogLines::ofRequest() const {
  std::vector<json::object> Lines = Own_;
  sortByTime(Lines);
  return Lines;
}

std::vector<json::object> LogLines::ofTargets() const {
  std::vector<json::object> Lines;
  const std::vector<json::object> Own = ofRequest();
  if (Own.empty())
    return Lines;
  std::set<std::string> Targets;
  for (const json::object &Each : Own)
    Targets.insert(fieldText(Each, "target"));
  const double From = secondsOf(Own.front()) - SecondsBefore;
  const double Until = secondsOf(Own.back());
  for (const json::object &Each : Beliefs_)
    if (Targets.contains(fieldText(Each, "subject")) &&
        secondsOf(Each) >= From && secondsOf(Each) <= Until)
      Lines.push_back(Each);
  sortByTime(Lines);
  return Lines;
}

} // namespace cranberryspool::operations
