#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_JSONLOCATION_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_JSONLOCATION_H

#include "document/types/jsontree.h"

#include <string>

namespace cranberryspool::document {

/// A value of a JSON text and the JSON pointer (RFC 6901) to it.
struct JsonLocation {
  JsonNodeId Node_;
  std::string Pointer_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_JSONLOCATION_H
