#ifndef CRANBERRYSPOOL_OPERATIONS_BURNCOMMAND_H
#define CRANBERRYSPOOL_OPERATIONS_BURNCOMMAND_H

#include "framework/time.h"
#include "operations/types/exitcode.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

struct Console;

/// What `cranberryctl burn` reads and writes.
struct BurnOptions {
  /// Operator ports (`IP:port`) of the instances to ask.
  std::vector<std::string> Addresses_;
  /// Files that each hold the status of an instance.
  std::vector<std::string> Files_;
  /// A document whose objectives replace those of the instances; may be empty.
  std::string DocumentPath_;
  /// Where to write the SVG picture; empty for none.
  std::string SvgPath_;
  framework::Duration Timeout_{};
};

/// Sums the counters of all inputs and writes the burn report. It ends at `Now`
/// when instances are asked, and at the latest bucket when only files are
/// read. Returns `NegativeResult` on an alarm; an instance that does not answer
/// is named, left out, and gives `Unreachable` unless there is an alarm.
ExitCode burnCommand(const BurnOptions &Options, framework::WallTime Now,
                     const Console &Streams);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_BURNCOMMAND_H
