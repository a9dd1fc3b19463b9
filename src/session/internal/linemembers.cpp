#include "session/internal/linemembers.h"

#include "framework/units.h"

#include <boost/json/value.hpp>

namespace cranberryspool::session {

std::optional<std::string> LineMembers::text(std::string_view Name) {
  const auto *Member = Line_.if_contains(Name);
  if (Member && Member->is_string())
    return std::string(Member->get_string());
  Concerned_ = Name;
  return std::nullopt;
}

std::optional<std::uint64_t> LineMembers::number(std::string_view Name) {
  const auto *Member = Line_.if_contains(Name);
  if (Member && Member->is_int64() && Member->get_int64() >= 0)
    return static_cast<std::uint64_t>(Member->get_int64());
  Concerned_ = Name;
  return std::nullopt;
}

std::optional<bool> LineMembers::flag(std::string_view Name) {
  const auto *Member = Line_.if_contains(Name);
  if (Member && Member->is_bool())
    return Member->get_bool();
  Concerned_ = Name;
  return std::nullopt;
}

std::optional<framework::Duration> LineMembers::time(std::string_view Name) {
  const auto Text = text(Name);
  if (!Text)
    return std::nullopt;
  const auto Value = framework::parseDuration(*Text);
  if (!Value)
    Concerned_ = Name;
  return Value;
}

} // namespace cranberryspool::session
