#ifndef CRANBERRYSPOOL_OPERATIONS_BURNCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_BURNCOMMAND_H

#include "framework/time.h"
#include "operations/types/exitcode.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

struct Console;

/// Inputs and outputs of `cranberryctl burn`.
struct BurnOptions {
  /// Operator ports (`IP:port`) of the instances to query.
  std::vector<std::string> Addresses_;
  /// Files that each contain the saved `/status` response of one instance.
  std::vector<std::string> Files_;
  /// Path of a document whose objectives replace those reported by the
  /// instances; empty to use the reported ones.
  std::string DocumentPath_;
  /// Path of the SVG chart to write; empty to write none.
  std::string SvgPath_;
  /// Time limit for the query of one instance.
  framework::Duration Timeout_{};
};

/// Sums the call counters of all inputs and writes the burn rate report. The
/// reporting period ends at `Now` when instances are queried, and at the end of
/// the latest bucket when only files are read. Returns `BadInput` when a file
/// or the document cannot be used, and `NegativeResult` when an alert fires.
/// Instances without a usable response are named on the error stream and left
/// out of the sums; the command then returns `Unreachable` unless an alert
/// fires.
ExitCode burnCommand(const BurnOptions &Options, framework::WallTime Now,
                     const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_BURNCOMMAND_H
