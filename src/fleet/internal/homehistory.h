#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_HOMEHISTORY_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_HOMEHISTORY_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// Which instance was home of a subject under each list of members that this
/// instance held, so that it knows since when it is the home.
class HomeHistory {
public:
  explicit HomeHistory(framework::InstanceName Self);

  /// A list with other members was accepted.
  void noteMembers(const std::vector<document::PublishedInstance> &Members,
                   framework::Instant Now);
  /// This instance could not know that its list was current: what it was home
  /// of before does not count.
  void noteLapse(framework::Instant Now);

  /// Returns since when this instance is home without a break; nothing when it
  /// is not.
  std::optional<framework::Instant> homeSince(std::string_view Subject) const;
  /// Returns the home before this instance; null when this instance never saw
  /// another.
  const document::PublishedInstance *homeBefore(std::string_view Subject) const;

private:
  struct Version {
    framework::Instant Since_;
    std::vector<document::PublishedInstance> Members_;
  };

  bool isHome(const Version &Item, std::string_view Subject) const;

  framework::InstanceName Self_;
  std::deque<Version> Versions_;
  framework::Instant LapsedAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_HOMEHISTORY_H
