#ifndef CRANBERRYSPOOL_OPERATIONS_CHECKCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_CHECKCOMMAND_H

#include "operations/types/exitcode.h"

#include <string>

namespace cranberryspool::operations {

struct Console;

/// Checks a document and describes it when it is accepted: its digest, the
/// state of its zones, and for each service its limits and kinds of call.
ExitCode checkCommand(const std::string &Path, const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_CHECKCOMMAND_H
