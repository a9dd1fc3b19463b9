#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_JSONPARSEERROR_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_JSONPARSEERROR_H

#include "document/types/faultkind.h"

#include <cstddef>
#include <string>

namespace cranberryspool::document {

/// The position and reason of a failure to parse JSON with comments.
struct JsonParseError {
  FaultKind Kind_ = FaultKind::InvalidSyntax;
  std::size_t Offset_ = 0;
  std::string Expected_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_JSONPARSEERROR_H
