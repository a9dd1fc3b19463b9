#include "entry/internal/fieldtext.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cranberryspool::entry {

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  const auto Lower = [](char Character) {
    return Character >= 'A' && Character <= 'Z'
               ? static_cast<char>(Character - 'A' + 'a')
               : Character;
  };
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    if (Lower(Left[Index]) != Lower(Right[Index]))
      return false;
  }
  return true;
}

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  const std::size_t Last = Text.find_last_not_of(" \t");
  return Text.substr(First, Last - First + 1);
}

std::optional<std::uint64_t> parseUnsigned(std::string_view Text) {
  std::uint64_t Count = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Count);
  if (Text.empty() || Code != std::errc() || End != Last)
    return std::nullopt;
  return Count;
}

std::optional<routing::RequestRate> parseRequestRate(std::string_view Text) {
  double PerSecond = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, PerSecond);
  if (Code != std::errc() || End != Last || !std::isfinite(PerSecond) ||
      std::signbit(PerSecond))
    return std::nullopt;
  constexpr double MaxMillihertz =
      routing::RequestRate::unlimited().Millihertz_ - 1;
  return routing::RequestRate{static_cast<std::uint32_t>(
      std::min(std::floor(PerSecond * 1000), MaxMillihertz))};
}

std::vector<std::string_view> splitList(std::string_view Text) {
  std::vector<std::string_view> Items;
  while (true) {
    const std::size_t Comma = Text.find(',');
    Items.push_back(trimmed(Text.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return Items;
    Text.remove_prefix(Comma + 1);
  }
}

} // namespace cranberryspool::entry
