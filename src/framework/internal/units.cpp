#include "framework/units.h"

#include <array>
#include <charconv>
#include <limits>

namespace cranberryspool::framework {

namespace {

struct Unit {
  std::string_view Suffix_;
  std::int64_t Microseconds_;
};

constexpr std::array<Unit, 5> Units = {{{"us", 1},
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

constexpr std::uint32_t PerMillionInPercent = 10'000;
constexpr std::size_t ShareDecimals = 4;
constexpr std::uint32_t WholePercent = 100;

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

/// Reads a number without sign or leading zero from the front of the text and
/// removes it from there.
std::optional<std::int64_t> takeNumber(std::string_view &Text) {
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

/// Reads `.d` to `.dddd` as ten-thousandths.
std::optional<std::uint32_t> parseDecimals(std::string_view Text) {
  if (Text.empty())
    return 0;
  Text.remove_prefix(1);
  if (Text.empty() || Text.size() > ShareDecimals)
    return std::nullopt;
  std::uint32_t Value = 0;
  for (std::size_t At = 0; At < ShareDecimals; ++At) {
    const char Digit = At < Text.size() ? Text[At] : '0';
    if (!isDigit(Digit))
      return std::nullopt;
    Value = Value * 10 + static_cast<std::uint32_t>(Digit - '0');
  }
  return Value;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  const auto Number = takeNumber(Text);
  if (!Number)
    return std::nullopt;
  for (const Unit &Each : Units) {
    if (Text != Each.Suffix_)
      continue;
    if (*Number > std::numeric_limits<std::int64_t>::max() / Each.Microseconds_)
      return std::nullopt;
    return Duration(*Number * Each.Microseconds_);
  }
  return std::nullopt;
}

std::string durationText(Duration Value) {
  if (Value == Duration::zero())
    return "0s";
  const Unit *Best = &Units.front();
  for (const Unit &Each : Units) {
    if (Value.count() % Each.Microseconds_ == 0)
      Best = &Each;
  }
  return std::to_string(Value.count() / Best->Microseconds_) +
         std::string(Best->Suffix_);
}

std::optional<std::size_t> parseSize(std::string_view Text) {
  const auto Number = takeNumber(Text);
  if (!Number)
    return std::nullopt;
  for (const SizeUnit &Each : SizeUnits) {
    if (Text != Each.Suffix_)
      continue;
    if (*Number > std::numeric_limits<std::int64_t>::max() / Each.Bytes_)
      return std::nullopt;
    return static_cast<std::size_t>(*Number * Each.Bytes_);
  }
  return std::nullopt;
}

std::string sizeText(std::size_t Bytes) {
  const SizeUnit *Best = &SizeUnits.front();
  for (const SizeUnit &Each : SizeUnits) {
    if (Bytes > 0 && Bytes % static_cast<std::size_t>(Each.Bytes_) == 0)
      Best = &Each;
  }
  return std::to_string(Bytes / static_cast<std::size_t>(Best->Bytes_)) +
         std::string(Best->Suffix_);
}

std::optional<std::uint32_t> parseShare(std::string_view Text) {
  if (!Text.ends_with('%'))
    return std::nullopt;
  Text.remove_suffix(1);
  const auto Whole = takeNumber(Text);
  if (!Whole || *Whole > WholePercent)
    return std::nullopt;
  if (!Text.empty() && Text.front() != '.')
    return std::nullopt;
  const auto Decimals = parseDecimals(Text);
  if (!Decimals)
    return std::nullopt;
  const std::uint32_t Share =
      static_cast<std::uint32_t>(*Whole) * PerMillionInPercent + *Decimals;
  if (Share > WholePercent * PerMillionInPercent)
    return std::nullopt;
  return Share;
}

std::string shareText(std::uint32_t PerMillion) {
  std::string Text = std::to_string(PerMillion / PerMillionInPercent);
  std::string Decimals = std::to_string(PerMillion % PerMillionInPercent);
  Decimals.insert(0, ShareDecimals - Decimals.size(), '0');
  while (!Decimals.empty() && Decimals.back() == '0')
    Decimals.pop_back();
  if (!Decimals.empty())
    Text += "." + Decimals;
  return Text + "%";
}

} // namespace cranberryspool::framework
