#ifndef CRANBERRYSPOOL_DOCUMENT_BLANKCOMMENTS_H
#define CRANBERRYSPOOL_DOCUMENT_BLANKCOMMENTS_H

#include <string>
#include <string_view>

namespace cranberryspool::document {

/// Returns a JSON text with its comments (`//` and `/* */`) replaced by spaces,
/// so that every other byte keeps its offset. A comment that does not end is
/// left for the parser to refuse.
///
/// Boost.JSON 1.81 can skip comments, but reads past the end of its input when
/// a comment meets the end of a chunk.
std::string blankComments(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_BLANKCOMMENTS_H
