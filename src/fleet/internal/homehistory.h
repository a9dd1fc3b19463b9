#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_HOMEHISTORY_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_HOMEHISTORY_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/tenure.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
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

  /// A list with other members was accepted. `RevisionBefore` is the last
  /// revision that held the members before.
  void noteMembers(const std::vector<document::PublishedInstance> &Members,
                   framework::Digest Digest,
                   framework::Revision RevisionBefore);
  /// The latest list counts from now on, if it does not yet.
  void noteSettled(framework::Instant Now);
  /// This instance could not know that its list was current: what it was home
  /// of before does not count.
  void noteLapse();

  /// Returns since when this instance is home without a break; nothing when it
  /// is not.
  std::optional<Tenure> tenure(std::string_view Subject) const;
  /// Returns a tenure for each way in which this instance may have become home
  /// of anything.
  std::vector<Tenure> allTenures() const;

  bool isSettled() const;
  /// True for the latest list and those that counted.
  bool isKnown(framework::Digest Digest) const;

private:
  struct Version {
    framework::Digest Digest_;
    framework::Revision RevisionBefore_;
    std::vector<document::PublishedInstance> Members_;
    std::optional<framework::Instant> SettledAt_;
    bool HasLapsed_ = false;
  };

  /// Returns the tenure that began with the given list; nothing when no list
  /// since then counts.
  std::optional<Tenure> tenureFrom(std::size_t Index) const;
  framework::InstanceName homeBefore(std::size_t Index,
                                     std::string_view Subject) const;
  bool isHome(const Version &Item, std::string_view Subject) const;

  framework::InstanceName Self_;
  std::deque<Version> Versions_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_HOMEHISTORY_H
