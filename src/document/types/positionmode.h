#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_POSITIONMODE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_POSITIONMODE_H

namespace cranberryspool::document {

/// Whether offsets are worth their cost: the text is then fed to the parser
/// byte by byte.
enum class PositionMode { Without, With };

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_POSITIONMODE_H
