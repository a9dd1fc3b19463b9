#include "workspaces/readcredential.h"

#include "workspaces/digestkey.h"

#include <algorithm>

namespace cranberryspool::workspaces {

namespace {

constexpr std::string_view BearerScheme = "bearer";
constexpr std::string_view Blanks = " \t";

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

char toLower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

bool isBearer(std::string_view Scheme) {
  return std::equal(
      Scheme.begin(), Scheme.end(), BearerScheme.begin(), BearerScheme.end(),
      [](char Left, char Right) { return toLower(Left) == Right; });
}

/// A token consists of visible ASCII characters.
bool isToken(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxKeyBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character < 127;
         });
}

} // namespace

Credential readCredential(std::span<const std::string_view> Values) {
  if (Values.empty())
    return {CredentialState::Absent, {}};
  if (Values.size() > 1)
    return {CredentialState::Malformed, {}};
  const std::string_view Value = trimmed(Values.front());
  const std::size_t SchemeEnd = Value.find_first_of(Blanks);
  const std::string_view Scheme = Value.substr(0, SchemeEnd);
  if (Scheme.empty())
    return {CredentialState::Malformed, {}};
  if (!isBearer(Scheme))
    return {CredentialState::OtherScheme, {}};
  const std::string_view Key = SchemeEnd == std::string_view::npos
                                   ? std::string_view()
                                   : trimmed(Value.substr(SchemeEnd));
  if (!isToken(Key))
    return {CredentialState::Malformed, {}};
  return {CredentialState::Presented, digestKey(Key)};
}

} // namespace cranberryspool::workspaces
