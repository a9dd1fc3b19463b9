#ifndef CRANBERRYSPOOL_DOCUMENT_BLANKCOMMENTS_H
#define CRANBERRYSPOOL_DOCUMENT_BLANKCOMMENTS_H

#include <string>
#include <string_view>

namespace cranberryspool::document {

/// Returns a JSON text with its comments (`//` and `/* */`) replaced by spaces,
/// so that every other byte keeps its offset. An unterminated `/*` comment is
/// left in the text, where the parser rejects it.
///
/// The comment option of Boost.JSON 1.81 is not used, because its parser reads
/// past the end of its input when a comment reaches the end of a chunk.
std::string blankComments(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_BLANKCOMMENTS_H
