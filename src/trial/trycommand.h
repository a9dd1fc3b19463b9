#ifndef CRANBERRYSPOOL_TRIAL_TRYCOMMAND_H
#define CRANBERRYSPOOL_TRIAL_TRYCOMMAND_H

#include "operations/types/exitcode.h"
#include "trial/types/trialsettings.h"

#include <string>

namespace cranberryspool::operations {
struct Console;
} // namespace cranberryspool::operations

namespace cranberryspool::trial {

/// Runs the command `try` of the command line: runs a trial of a document on a
/// small fleet in this process and reports whether it may be promoted.
operations::ExitCode tryCommand(const std::string &Path,
                                const TrialSettings &Settings,
                                const operations::Console &Streams);

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TRYCOMMAND_H
