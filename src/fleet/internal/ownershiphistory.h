#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_OWNERSHIPHISTORY_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_OWNERSHIPHISTORY_H

#include "document/types/publishedinstance.h"
#include "fleet/internal/ownershipperiod.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::fleet {

/// The member lists that this instance has held, used to find since when the
/// instance owns a subject.
class OwnershipHistory {
public:
  explicit OwnershipHistory(framework::InstanceName Self);

  /// Adds a list with different members. `PreviousRevision` is the last
  /// revision with the previous members.
  void addMemberList(const std::vector<document::PublishedInstance> &Members,
                     framework::Digest Digest,
                     framework::Revision PreviousRevision);
  /// Makes the latest list effective from now on, unless it is effective
  /// already.
  void markEffective(framework::Instant Now);
  /// Ends all ownership so far, after a time in which this instance could not
  /// know whether its list was current.
  void invalidateOwnership();

  /// Returns the uninterrupted period for which this instance has owned the
  /// subject; nothing when it is not the owner.
  std::optional<OwnershipPeriod> currentPeriod(std::string_view Subject) const;
  /// Returns every possible period over all subjects: for each list, one per
  /// previous owner whose subjects this instance may have taken over, and one
  /// more if ownership has been invalidated since. Lists that never took
  /// effect, and are not followed by one that did, are skipped.
  std::vector<OwnershipPeriod> allPeriods() const;

  bool isEffective() const;
  /// Returns true for the latest list and for all that took effect.
  bool isKnown(framework::Digest Digest) const;

private:
  struct Version {
    framework::Digest Digest_;
    framework::Revision PreviousRevision_;
    std::vector<document::PublishedInstance> Members_;
    /// When the list took effect; empty before that and after an invalidation.
    std::optional<framework::Instant> EffectiveSince_;
    /// True when ownership was invalidated while this list was remembered.
    bool WasInvalidated_ = false;
  };

  /// Returns the period that began with the given list; nothing when neither
  /// that list nor a later one took effect.
  std::optional<OwnershipPeriod> periodFrom(std::size_t Index) const;
  framework::InstanceName previousOwner(std::size_t Index,
                                        std::string_view Subject) const;
  bool isOwner(const Version &Item, std::string_view Subject) const;

  framework::InstanceName Self_;
  std::deque<Version> Versions_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_OWNERSHIPHISTORY_H
