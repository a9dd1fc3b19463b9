#include "framework/units.h"

#include <array>
#include <charconv>
#include <limits>

namespace cranberryspool::framework {

namespace {

struct DurationUnit {
  std::string_view Suffix_;
  std::int64_t Microseconds_;
};

constexpr std::array<DurationUnit, 5> DurationUnits = {{{"us", 1},
                                                        {"ms", 1'000},
                                                        {"s", 1'000'000},
                                                        {"m", 60'000'000},
                                                        {"h", 3'600'000'000}}};

struct SizeUnit {
  std::string_view Suffix_;
  std::int64_t Bytes_;
};

constexpr std::array<SizeUnit, 3> SizeUnits = {
    {{"B", 1}, {"KiB", 1'024}, {"MiB", 1'048'576}}};

constexpr std::uint32_t PartsPerMillionPerPercent = 10'000;
constexpr std::size_t MaxPercentDecimals = 4;
constexpr std::uint32_t MaxPercent = 100;

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

/// Parses a number without sign or leading zero at the start of the text and
/// removes it from the text.
std::optional<std::int64_t> consumeNumber(std::string_view &Text) {
  if (Text.empty() || !isDigit(Text.front()))
    return std::nullopt;
  std::int64_t Number = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc())
    return std::nullopt;
  const auto Length = static_cast<std::size_t>(End - Text.data());
  if (Text.front() == '0' && Length > 1)
    return std::nullopt;
  Text.remove_prefix(Length);
  return Number;
}

/// Parses `.d` to `.dddd` and returns ten-thousandths; an empty text gives 0.
std::optional<std::uint32_t> parsePercentDecimals(std::string_view Text) {
  if (Text.empty())
    return 0;
  Text.remove_prefix(1);
  if (Text.empty() || Text.size() > MaxPercentDecimals)
    return std::nullopt;
  std::uint32_t Value = 0;
  for (std::size_t Position = 0; Position < MaxPercentDecimals; ++Position) {
    const char Digit = Position < Text.size() ? Text[Position] : '0';
    if (!isDigit(Digit))
      return std::nullopt;
    Value = Value * 10 + static_cast<std::uint32_t>(Digit - '0');
  }
  return Value;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  const auto Number = consumeNumber(Text);
  if (!Number)
    return std::nullopt;
  for (const DurationUnit &Unit : DurationUnits) {
    if (Text != Unit.Suffix_)
      continue;
    if (*Number > std::numeric_limits<std::int64_t>::max() / Unit.Microseconds_)
      return std::nullopt;
    return Duration(*Number * Unit.Microseconds_);
  }
  return std::nullopt;
}

std::string durationText(Duration Value) {
  if (Value == Duration::zero())
    return "0s";
  const DurationUnit *LargestUnit = &DurationUnits.front();
  for (const DurationUnit &Unit : DurationUnits) {
    if (Value.count() % Unit.Microseconds_ == 0)
      LargestUnit = &Unit;
  }
  return std::to_string(Value.count() / LargestUnit->Microseconds_) +
         std::string(LargestUnit->Suffix_);
}

std::optional<std::size_t> parseSize(std::string_view Text) {
  const auto Number = consumeNumber(Text);
  if (!Number)
    return std::nullopt;
  for (const SizeUnit &Unit : SizeUnits) {
    if (Text != Unit.Suffix_)
      continue;
    if (*Number > std::numeric_limits<std::int64_t>::max() / Unit.Bytes_)
      return std::nullopt;
    return static_cast<std::size_t>(*Number * Unit.Bytes_);
  }
  return std::nullopt;
}

std::string sizeText(std::size_t Bytes) {
  const SizeUnit *LargestUnit = &SizeUnits.front();
  for (const SizeUnit &Unit : SizeUnits) {
    if (Bytes > 0 && Bytes % static_cast<std::size_t>(Unit.Bytes_) == 0)
      LargestUnit = &Unit;
  }
  return std::to_string(Bytes / static_cast<std::size_t>(LargestUnit->Bytes_)) +
         std::string(LargestUnit->Suffix_);
}

std::optional<std::uint32_t> parseShare(std::string_view Text) {
  if (!Text.ends_with('%'))
    return std::nullopt;
  Text.remove_suffix(1);
  const auto IntegerPart = consumeNumber(Text);
  if (!IntegerPart || *IntegerPart > MaxPercent)
    return std::nullopt;
  if (!Text.empty() && Text.front() != '.')
    return std::nullopt;
  const auto Decimals = parsePercentDecimals(Text);
  if (!Decimals)
    return std::nullopt;
  const std::uint32_t PerMillionValue =
      static_cast<std::uint32_t>(*IntegerPart) * PartsPerMillionPerPercent +
      *Decimals;
  if (PerMillionValue > MaxPercent * PartsPerMillionPerPercent)
    return std::nullopt;
  return PerMillionValue;
}

std::string shareText(std::uint32_t PerMillion) {
  std::string Text = std::to_string(PerMillion / PartsPerMillionPerPercent);
  std::string Decimals = std::to_string(PerMillion % PartsPerMillionPerPercent);
  Decimals.insert(0, MaxPercentDecimals - Decimals.size(), '0');
  while (!Decimals.empty() && Decimals.back() == '0')
    Decimals.pop_back();
  if (!Decimals.empty())
    Text += "." + Decimals;
  return Text + "%";
}

} // namespace cranberryspool::framework
