#ifndef CRANBERRYSPOOL_DOCUMENT_PARSEDOCUMENT_H
#define CRANBERRYSPOOL_DOCUMENT_PARSEDOCUMENT_H

#include "document/types/documentfault.h"
#include "document/types/environmentdocument.h"
#include "framework/result.h"

#include <cstddef>
#include <string_view>

namespace cranberryspool::document {

/// The largest document, in bytes: what the configuration service can hold.
inline constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// The deepest nesting of objects and arrays.
inline constexpr std::size_t MaxDocumentDepth = 16;

/// The most faults that one parse reports.
inline constexpr std::size_t MaxReportedFaults = 1'000;

/// Reads an environment document, JSON with comments, and checks all of it.
/// The verdict depends on the text alone, so it is the same on every instance.
/// Lists of the result are sorted by name: their order in the text has no
/// meaning. A syntax fault is reported alone, since the rest cannot be read.
framework::Result<EnvironmentDocument, DocumentFaults>
parseDocument(std::string_view Text);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_PARSEDOCUMENT_H
