#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDTEXT_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDTEXT_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Small helpers for the text of header fields.
namespace cranberryspool::entry {

/// Compares the names of fields, or tokens, without regard to ASCII case.
bool isSameField(std::string_view Left, std::string_view Right);

/// Strips spaces and tabs at both ends.
std::string_view trimmed(std::string_view Text);

/// Parses a decimal number without sign or space; nothing when it is none.
std::optional<std::uint64_t> parseCount(std::string_view Text);

/// Splits a comma-separated list; the items are trimmed.
std::vector<std::string_view> splitList(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDTEXT_H
