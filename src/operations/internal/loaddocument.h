#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOADDOCUMENT_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOADDOCUMENT_H

#include "document/types/environmentdocument.h"
#include "framework/result.h"
#include "operations/types/exitcode.h"

#include <string>

namespace cranberryspool::operations {

struct Console;

/// Reads and checks a document. When it is unreadable or refused, all reasons
/// are written to the console's error stream, each with the file's name; with
/// JSON output they are written as one JSON object instead. The failure is
/// `BadInput` for an unreadable file and `NegativeResult` for a refused
/// document.
framework::Result<document::EnvironmentDocument, ExitCode>
loadDocument(const std::string &Path, const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_LOADDOCUMENT_H
