#include "framework/log/logline.h"

#include <charconv>
#include <cstdio>

namespace cranberryspool::framework {

namespace {

constexpr unsigned char FirstUnescaped = 0x20;

/// Appends the text as a JSON string. Bytes that are not valid UTF-8 are copied
/// unchanged.
void appendQuoted(std::string &Output, std::string_view Text) {
  Output += '"';
  for (const char Character : Text) {
    if (Character == '"' || Character == '\\') {
      Output += '\\';
      Output += Character;
    } else if (static_cast<unsigned char>(Character) < FirstUnescaped) {
      char Escape[8];
      std::snprintf(
          Escape, sizeof(Escape), "\\u%04x",
          static_cast<unsigned>(static_cast<unsigned char>(Character)));
      Output += Escape;
    } else {
      Output += Character;
    }
  }
  Output += '"';
}

void appendNumber(std::string &Output, std::int64_t Value) {
  char Digits[24];
  const auto Conversion = std::to_chars(Digits, Digits + sizeof(Digits), Value);
  Output.append(Digits, Conversion.ptr);
}

} // namespace

LogLine::LogLine(std::string_view Event, LogImportance Importance)
    : Importance_(Importance) {
  Members_.reserve(256);
  Members_ += "\"event\":";
  appendQuoted(Members_, Event);
}

void LogLine::appendName(std::string_view Name) {
  Members_ += ",\"";
  Members_ += Name;
  Members_ += "\":";
}

LogLine &LogLine::text(std::string_view Name, std::string_view Value) {
  appendName(Name);
  appendQuoted(Members_, Value);
  return *this;
}

LogLine &LogLine::number(std::string_view Name, std::int64_t Value) {
  appendName(Name);
  appendNumber(Members_, Value);
  return *this;
}

LogLine &LogLine::millis(std::string_view Name, Duration Value) {
  appendName(Name);
  const std::int64_t Micros = Value.count();
  if (Micros < 0)
    Members_ += '-';
  const std::int64_t Magnitude = Micros < 0 ? -Micros : Micros;
  appendNumber(Members_, Magnitude / 1000);
  char Fraction[8];
  std::snprintf(Fraction, sizeof(Fraction), ".%03d",
                static_cast<int>(Magnitude % 1000));
  Members_ += Fraction;
  return *this;
}

LogLine &LogLine::unknown(std::string_view Name) {
  appendName(Name);
  Members_ += "null";
  return *this;
}

LogLine &LogLine::flag(std::string_view Name, bool Value) {
  appendName(Name);
  Members_ += Value ? "true" : "false";
  return *this;
}

} // namespace cranberryspool::framework
