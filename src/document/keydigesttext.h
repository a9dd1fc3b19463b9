#ifndef CRANBERRYSPOOL_DOCUMENT_KEYDIGESTTEXT_H
#define CRANBERRYSPOOL_DOCUMENT_KEYDIGESTTEXT_H

#include "document/types/keydigest.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::document {

/// Returns a digest as 64 lower-case hexadecimal digits.
std::string digestText(const KeyDigest &Digest);

/// Parses the text that `digestText` returns; returns nothing for other text.
std::optional<KeyDigest> parseDigest(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_KEYDIGESTTEXT_H
