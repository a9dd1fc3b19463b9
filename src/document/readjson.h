#ifndef CRANBERRYSPOOL_DOCUMENT_READJSON_H
#define CRANBERRYSPOOL_DOCUMENT_READJSON_H

#include "document/types/jsonparseerror.h"
#include "document/types/jsontree.h"
#include "document/types/positionmode.h"
#include "framework/result.h"

#include <string_view>

namespace cranberryspool::document {

/// Parses JSON with comments by means of Boost.JSON. The whole text, including
/// its comments, must be valid UTF-8.
framework::Result<JsonTree, JsonParseError> readJson(std::string_view Text,
                                                     PositionMode Mode);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_READJSON_H
