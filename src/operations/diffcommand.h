#ifndef CRANBERRYSPOOL_OPERATIONS_DIFFCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_DIFFCOMMAND_H

#include "operations/types/exitcode.h"

#include <string>

namespace cranberryspool::operations {

struct Console;

/// Writes the differences between two documents, grouped by the area that they
/// affect. Returns `NegativeResult` when the documents differ and `BadInput`
/// when one of them cannot be read or is refused.
ExitCode diffCommand(const std::string &OldPath, const std::string &NewPath,
                     const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_DIFFCOMMAND_H
