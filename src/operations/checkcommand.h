#ifndef CRANBERRYSPOOL_OPERATIONS_CHECKCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_CHECKCOMMAND_H

#include "operations/types/exitcode.h"

#include <string>

namespace cranberryspool::operations {

struct Console;

/// Validates a document. For an accepted document, writes its digest, the state
/// of its zones, and the limits and request kinds of each service.
ExitCode checkCommand(const std::string &Path, const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_CHECKCOMMAND_H
