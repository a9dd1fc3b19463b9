#ifndef CRANBERRYSPOOL_OPERATIONS_DIFFCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_DIFFCOMMAND_H

#include "operations/types/exitcode.h"

#include <string>

namespace cranberryspool::operations {

struct Console;

/// Writes what a new document changes and whom that reaches. Returns
/// `NegativeResult` when the documents differ and `BadInput` when one is
/// refused.
ExitCode diffCommand(const std::string &OldPath, const std::string &NewPath,
                     const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_DIFFCOMMAND_H
