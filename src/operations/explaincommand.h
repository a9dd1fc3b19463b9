#ifndef CRANBERRYSPOOL_OPERATIONS_EXPLAINCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_EXPLAINCOMMAND_H

#include "operations/types/exitcode.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

struct Console;

/// Writes what the logs of the instances contain about one request: how it
/// ended and why, then each attempt with the age of its target's load report,
/// then the state changes that instances logged for these targets at that time.
/// Text before the JSON object of a line, as log collectors add it, is ignored;
/// lines without a JSON object are skipped. Returns `NegativeResult` when no
/// file mentions the request and `BadInput` when a file cannot be read.
ExitCode explainCommand(const std::string &RequestId,
                        const std::vector<std::string> &Paths,
                        const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_EXPLAINCOMMAND_H
