#include "framework/log/logline.h"

#include <charconv>
#include <cstdio>

namespace cranberryspool::framework {

namespace {

constexpr unsigned char FirstPrintable = 0x20;

/// Escapes as JSON wants it; bytes that are no UTF-8 pass as they are.
void appendQuoted(std::string &Out, std::string_view Text) {
  Out += '"';
  for (const char Each : Text) {
    if (Each == '"' || Each == '\\') {
      Out += '\\';
      Out += Each;
    } else if (static_cast<unsigned char>(Each) < FirstPrintable) {
      char Code[8];
      std::snprintf(Code, sizeof(Code), "\\u%04x",
                    static_cast<unsigned>(static_cast<unsigned char>(Each)));
      Out += Code;
    } else {
      Out += Each;
    }
  }
  Out += '"';
}

void appendNumber(std::string &Out, std::int64_t Value) {
  char Digits[24];
  const auto Written = std::to_chars(Digits, Digits + sizeof(Digits), Value);
  Out.append(Digits, Written.ptr);
}

} // namespace

LogLine::LogLine(std::string_view Event, LogImportance Importance)
    : Importance_(Importance) {
  Members_.reserve(256);
  Members_ += "\"event\":";
  appendQuoted(Members_, Event);
}

void LogLine::name(std::string_view Name) {
  Members_ += ",\"";
  Members_ += Name;
  Members_ += "\":";
}

LogLine &LogLine::text(std::string_view Name, std::string_view Value) {
  name(Name);
  appendQuoted(Members_, Value);
  return *this;
}

LogLine &LogLine::number(std::string_view Name, std::int64_t Value) {
  name(Name);
  appendNumber(Members_, Value);
  return *this;
}

LogLine &LogLine::millis(std::string_view Name, Duration Value) {
  name(Name);
  const std::int64_t Micros = Value.count();
  if (Micros < 0)
    Members_ += '-';
  const std::int64_t Size = Micros < 0 ? -Micros : Micros;
  appendNumber(Members_, Size / 1000);
  char Fraction[8];
  std::snprintf(Fraction, sizeof(Fraction), ".%03d",
                static_cast<int>(Size % 1000));
  Members_ += Fraction;
  return *this;
}

LogLine &LogLine::flag(std::string_view Name, bool Value) {
  name(Name);
  Members_ += Value ? "true" : "false";
  return *this;
}

} // namespace cranberryspool::framework
