#ifndef CRANBERRYSPOOL_DOCUMENT_INTERNAL_READJSON_H
#define CRANBERRYSPOOL_DOCUMENT_INTERNAL_READJSON_H

#include "document/internal/jsontree.h"
#include "document/types/faultkind.h"
#include "framework/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cranberryspool::document {

/// Where and why a text is not JSON with comments.
struct JsonFailure {
  FaultKind Kind_ = FaultKind::InvalidSyntax;
  std::size_t Offset_ = 0;
  std::string Expected_;
};

/// Whether offsets are worth their cost: the text is then fed to the parser
/// byte by byte.
enum class PositionMode { Without, With };

/// Reads a JSON text with comments by Boost.JSON.
framework::Result<JsonTree, JsonFailure> readJson(std::string_view Text,
                                                  PositionMode Mode);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_INTERNAL_READJSON_H
