#ifndef CRANBERRYSPOOL_DOCUMENT_PARSEDOCUMENT_H
#define CRANBERRYSPOOL_DOCUMENT_PARSEDOCUMENT_H

#include "document/types/documentfault.h"
#include "document/types/environmentdocument.h"
#include "framework/result.h"

#include <cstddef>
#include <string_view>

namespace cranberryspool::document {

/// The largest value that the configuration service can store.
inline constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// The maximum nesting depth of objects and arrays.
inline constexpr std::size_t MaxDocumentDepth = 16;

/// The maximum number of faults that one parse reports.
inline constexpr std::size_t MaxReportedFaults = 1'000;

/// Parses and validates an environment document, which is JSON with comments.
/// The result depends on the text alone, so every instance accepts or rejects
/// the same documents. Lists in the result are sorted by name, because their
/// order in the text has no meaning. A syntax error is reported alone, since
/// the rest of the text cannot be parsed.
framework::Result<EnvironmentDocument, DocumentFaults>
parseDocument(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_PARSEDOCUMENT_H
