#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDTEXT_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDTEXT_H

#include "routing/types/requestrate.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Parsing of header field text.
namespace cranberryspool::entry {

/// Compares field names or tokens without regard to ASCII case.
bool equalsIgnoreCase(std::string_view Left, std::string_view Right);

/// Strips spaces and tabs at both ends.
std::string_view trimmed(std::string_view Text);

/// Parses an unsigned decimal number without spaces; returns nothing for other
/// text.
std::optional<std::uint64_t> parseUnsigned(std::string_view Text);

/// Parses a decimal number of requests per second; returns nothing for negative
/// or non-finite numbers and for other text. Rates are rounded down, and very
/// large ones are cut to the maximum of `RequestRate`.
std::optional<routing::RequestRate> parseRequestRate(std::string_view Text);

/// Splits a comma-separated list into trimmed items.
std::vector<std::string_view> splitList(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_FIELDTEXT_H
