#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_UTF8_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_UTF8_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace cranberryspool::document {

/// Returns the offset of the first byte that is not part of valid UTF-8
/// (RFC 3629), comments included, which the JSON parser does not check.
std::optional<std::size_t> findInvalidUtf8(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_UTF8_H
