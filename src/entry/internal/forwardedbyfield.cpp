#include "entry/internal/forwardedbyfield.h"

#include "entry/internal/fieldtext.h"
#include "protocol/headers.h"

#include <cstddef>

namespace cranberryspool::entry {

std::string toText(const decision::ForwardingInstance &From) {
  return From.Name_.value() + ';' + std::to_string(From.Incarnation_.value());
}

std::optional<decision::ForwardingInstance>
parseForwardedBy(std::string_view Value) {
  const std::size_t Separator = Value.rfind(';');
  if (Separator == 0 || Separator == std::string_view::npos)
    return std::nullopt;
  const auto Incarnation = parseUnsigned(Value.substr(Separator + 1));
  if (!Incarnation)
    return std::nullopt;
  return decision::ForwardingInstance{
      framework::InstanceName(std::string(Value.substr(0, Separator))),
      framework::Incarnation(*Incarnation),
      {}};
}

std::optional<decision::ForwardingInstance>
takeForwardedBy(std::vector<HeaderField> &Fields) {
  std::optional<decision::ForwardingInstance> Found;
  const std::size_t Removed =
      std::erase_if(Fields, [&](const HeaderField &Field) {
        if (!equalsIgnoreCase(Field.Name_, protocol::ForwardedByHeader))
          return false;
        Found = parseForwardedBy(trimmed(Field.Value_));
        return true;
      });
  return Removed == 1 ? Found : std::nullopt;
}

} // namespace cranberryspool::entry
