#include "session/internal/jsonobjectreader.h"

#include "framework/units.h"

#include <boost/json/value.hpp>

namespace cranberryspool::session {

std::optional<std::string> JsonObjectReader::text(std::string_view Name) {
  const auto *Member = Object_.if_contains(Name);
  if (Member && Member->is_string())
    return std::string(Member->get_string());
  InvalidMember_ = Name;
  return std::nullopt;
}

std::optional<std::uint64_t> JsonObjectReader::number(std::string_view Name) {
  const auto *Member = Object_.if_contains(Name);
  if (Member && Member->is_int64() && Member->get_int64() >= 0)
    return static_cast<std::uint64_t>(Member->get_int64());
  InvalidMember_ = Name;
  return std::nullopt;
}

std::optional<bool> JsonObjectReader::boolean(std::string_view Name) {
  const auto *Member = Object_.if_contains(Name);
  if (Member && Member->is_bool())
    return Member->get_bool();
  InvalidMember_ = Name;
  return std::nullopt;
}

std::optional<framework::Duration>
JsonObjectReader::duration(std::string_view Name) {
  const auto Text = text(Name);
  if (!Text)
    return std::nullopt;
  const auto Value = framework::parseDuration(*Text);
  if (!Value)
    InvalidMember_ = Name;
  return Value;
}

} // namespace cranberryspool::session
