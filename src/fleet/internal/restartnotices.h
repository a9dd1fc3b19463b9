#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_RESTARTNOTICES_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_RESTARTNOTICES_H

#include "fleet/types/restartnotice.h"
#include "framework/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// Recent restarts of targets, to be sent to peers with heartbeats.
class RestartNotices {
public:
  /// Returns true when the notice was not known before.
  bool add(const RestartNotice &Notice, framework::Instant Now);
  /// Returns the newest notices, as many as one message may hold.
  std::vector<RestartNotice> recent(framework::Instant Now);

private:
  struct RecentNotice {
    RestartNotice Notice_;
    framework::Instant ExpiresAt_;
  };

  std::deque<RecentNotice> Recent_;
  std::map<framework::TargetName, std::deque<framework::Incarnation>>
      SeenStartIds_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_RESTARTNOTICES_H
