#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FORWARDERFIELD_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FORWARDERFIELD_H

#include "decision/types/forwarder.h"
#include "entry/types/headerfield.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// Returns the value of the header field by which an instance names itself in a
/// call that it forwards.
std::string toText(const decision::Forwarder &From);

/// Parses that value; returns nothing when it is invalid.
std::optional<decision::Forwarder> parseForwarder(std::string_view Value);

/// Removes the field and returns what it holds; nothing when it is missing,
/// repeated or invalid.
std::optional<decision::Forwarder>
takeForwarder(std::vector<HeaderField> &Fields);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FORWARDERFIELD_H
