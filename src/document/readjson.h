#ifndef CRANBERRYSPOOL_DOCUMENT_READJSON_H
#define CRANBERRYSPOOL_DOCUMENT_READJSON_H

#include "document/types/jsonparseerror.h"
#include "document/types/jsontree.h"
#include "document/types/positionmode.h"
#include "framework/result.h"

#include <string_view>

namespace cranberryspool::document {

/// Reads a JSON text with comments by Boost.JSON. The whole text must be UTF-8,
/// comments included.
framework::Result<JsonTree, JsonParseError> readJson(std::string_view Text,
                                                     PositionMode Mode);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_READJSON_H
