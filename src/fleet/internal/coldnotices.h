#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_COLDNOTICES_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_COLDNOTICES_H

#include "fleet/types/coldnotice.h"
#include "framework/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// Targets that were lately seen to start again, to be told to peers with the
/// next heartbeats.
class ColdNotices {
public:
  /// Returns true when the notice is new here.
  bool note(const ColdNotice &Notice, framework::Instant Now);
  /// Returns the notices for one message.
  std::vector<ColdNotice> recent(framework::Instant Now);

private:
  struct Item {
    ColdNotice Notice_;
    framework::Instant Until_;
  };

  std::deque<Item> Items_;
  std::map<framework::TargetName, std::deque<framework::Incarnation>> Known_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_COLDNOTICES_H
