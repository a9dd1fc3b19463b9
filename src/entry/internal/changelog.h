#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CHANGELOG_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CHANGELOG_H

#include "decision/types/changekind.h"
#include "framework/ids.h"

#include <log4cplus/logger.h>

#include <string>
#include <string_view>

namespace cranberryspool::entry {

/// Writes one structured line for each change of state of an instance:
/// `instance=... event=... subject=...`. Thread-safe.
class ChangeLog {
public:
  explicit ChangeLog(const framework::InstanceName &Instance);

  void note(decision::ChangeKind Kind, const std::string &Subject) const;

  /// A duty of the instance failed; its supervisor decides what follows.
  void noteDutyFailed(const std::string &Duty, const char *Reason) const;

  /// The instance ends because a duty failed too often.
  void noteGivenUp(const std::string &Duty) const;

private:
  std::string line(std::string_view Event, std::string_view Subject) const;

  std::string Instance_;
  log4cplus::Logger Logger_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CHANGELOG_H
