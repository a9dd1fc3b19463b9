#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOADDOCUMENT_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOADDOCUMENT_H

#include "document/types/environmentdocument.h"
#include "framework/result.h"
#include "operations/types/exitcode.h"

#include <string>

namespace cranberryspool::operations {

struct Console;

/// Reads and validates a document. When the file cannot be read or the document
/// is refused, writes every fault with the file name to the error stream of the
/// console, as text lines or as one JSON object. Fails with `BadInput` for an
/// unreadable file, which is reported as text in both formats, and with
/// `NegativeResult` for a refused document.
framework::Result<document::EnvironmentDocument, ExitCode>
loadDocument(const std::string &Path, const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOADDOCUMENT_H
