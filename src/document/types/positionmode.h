#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_POSITIONMODE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_POSITIONMODE_H

namespace cranberryspool::document {

/// Whether the parser records the offsets of values. Recording them is slow,
/// because the text is passed to the parser byte by byte.
enum class PositionMode { Without, With };

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_POSITIONMODE_H
