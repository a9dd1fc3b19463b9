#ifndef CRANBERRYSPOOL_OPERATIONS_EXPLAINCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_EXPLAINCOMMAND_H

#include "operations/types/exitcode.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

struct Console;

/// Writes what the logs of instances tell of one request: first how it ended
/// and why, then each attempt with what was known of its target, then what
/// else was believed of those targets meanwhile. Lines may have text before
/// the JSON object, as log collectors add it; other lines are skipped. Returns
/// `NegativeResult` when no file tells of the request and `BadInput` when a
/// file cannot be read.
ExitCode explainCommand(const std::string &Request,
                        const std::vector<std::string> &Paths,
                        const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_EXPLAINCOMMAND_H
