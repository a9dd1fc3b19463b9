#ifndef CRANBERRYSPOOL_OPERATIONS_STATUSCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_STATUSCOMMAND_H

#include "framework/time.h"
#include "operations/types/exitcode.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

struct Console;

/// Reads the status of instances from their operator ports and writes one line
/// for each; for a single instance, also its targets, queues and peers. Returns
/// `Unreachable` when the status of an instance could not be read, and
/// `NegativeResult` when the instances use different documents.
ExitCode statusCommand(const std::vector<std::string> &Addresses,
                       framework::Duration Timeout, const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_STATUSCOMMAND_H
