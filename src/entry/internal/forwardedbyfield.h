#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FORWARDEDBYFIELD_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FORWARDEDBYFIELD_H

#include "decision/types/forwardinginstance.h"
#include "entry/types/headerfield.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// Returns the value of the header field by which an instance names itself in a
/// call that it forwards.
std::string toText(const decision::ForwardingInstance &From);

/// Parses that value; returns nothing when it is invalid.
std::optional<decision::ForwardingInstance>
parseForwardedBy(std::string_view Value);

/// Removes the field and returns what it holds; nothing when it is missing,
/// repeated or invalid.
std::optional<decision::ForwardingInstance>
takeForwardedBy(std::vector<HeaderField> &Fields);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FORWARDEDBYFIELD_H
