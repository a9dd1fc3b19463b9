#ifndef CRANBERRYSPOOL_OPERATIONS_STATUSCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_STATUSCOMMAND_H

#include "framework/time.h"
#include "operations/types/exitcode.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

struct Console;

/// Reads the status of one or several instances from their operator ports and
/// writes it: for one instance its targets, queues and peers too, for several
/// a line each. Returns `Unreachable` when one did not answer, `NegativeResult`
/// when the instances have different documents in force.
ExitCode statusCommand(const std::vector<std::string> &Addresses,
                       framework::Duration Timeout, const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_STATUSCOMMAND_H
