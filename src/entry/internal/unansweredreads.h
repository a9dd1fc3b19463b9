#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_UNANSWEREDREADS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_UNANSWEREDREADS_H

#include "decision/event.h"
#include "fleet/types/readkind.h"

#include <set>

namespace cranberryspool::entry {

/// The reads of the platform's metadata store whose outcome the core does not
/// know yet. Outlives the worker that executes them, which may be restarted.
class UnansweredReads {
public:
  void begin(fleet::ReadKind Kind) { Kinds_.insert(Kind); }
  /// Ends the read whose outcome an event reports, if it reports one.
  void end(const decision::Event &Outcome);
  const std::set<fleet::ReadKind> &kinds() const { return Kinds_; }

private:
  std::set<fleet::ReadKind> Kinds_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_UNANSWEREDREADS_H
