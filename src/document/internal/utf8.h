#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_UTF8_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_UTF8_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace cranberryspool::document {

/// Returns the offset of the first byte sequence that is not valid UTF-8
/// (RFC 3629). The whole text is checked, including comments, which the JSON
/// parser does not validate.
std::optional<std::size_t> findInvalidUtf8(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_UTF8_H
