#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_MEMBERSHIP_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_MEMBERSHIP_H

#include "fleet/types/gossipmessage.h"
#include "framework/ids.h"
#include "framework/random.h"
#include "framework/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The other instances of the fleet that were recently active, as known from
/// their own messages or from gossip. Of each instance only the newest
/// incarnation is kept. Members are provisional until they are admitted.
class Membership {
public:
  struct MemberState {
    MemberInfo Info_;
    framework::Instant LastSeenAt_;
    bool IsStopping_ = false;
    bool IsLost_ = false;
    /// Whether this incarnation is known to belong to the fleet.
    bool IsAdmitted_ = false;
  };

  /// What a gossip message has changed.
  struct MergeResult {
    /// The sender was unknown, has restarted or was marked as lost.
    bool HasSenderJoined_ = false;
    /// The members that the message has admitted.
    std::vector<framework::InstanceName> Admitted_;
  };

  explicit Membership(MemberInfo Self) : Self_(std::move(Self)) {}

  /// Merges the members that a gossip message lists. An admitted sender admits
  /// them.
  MergeResult merge(const GossipMessage &Message, framework::Instant Now,
                    bool IsSenderAdmitted = false);

  /// Admits an incarnation. It replaces any other of the same name, unless that
  /// one is admitted and newer.
  void admit(const MemberInfo &Member, framework::Instant Now);
  void remove(const framework::InstanceName &Name);
  /// Makes all members provisional.
  void withdrawAdmissions();

  /// Returns the member of this name and incarnation, or null.
  const MemberState *find(const framework::InstanceName &Name,
                          framework::Incarnation Incarnation) const;
  bool isAdmitted(const framework::InstanceName &Name,
                  framework::Incarnation Incarnation) const;
  std::size_t admittedCount() const;
  /// Returns true when an admitted member of this name is of a later
  /// incarnation.
  bool isSucceeded(const framework::InstanceName &Name,
                   framework::Incarnation Incarnation) const;

  /// Refreshes a member that has sent a message other than gossip. Has no
  /// effect on members that are unknown, lost or of another incarnation.
  void recordActivity(const framework::InstanceName &Name,
                      framework::Incarnation Incarnation,
                      framework::Instant Now);

  /// Marks members without activity for the lost timeout as lost, and removes
  /// them after the retention period. Returns the names of the members that
  /// this call marked as lost.
  std::vector<framework::InstanceName> expire(framework::Instant Now);

  const MemberInfo &self() const { return Self_; }
  const std::map<framework::InstanceName, MemberState> &members() const {
    return Members_;
  }

  /// Increases whenever a member is added, restarted, lost, recovered, stopping
  /// or removed.
  std::uint64_t version() const { return Version_; }

  /// Returns the number of instances that are neither lost nor stopping, this
  /// one included.
  std::size_t runningCount() const;
  /// Returns the number of instances that were active within `RetentionPeriod`,
  /// this one included. Shares of fleet-wide bounds are computed from it, so
  /// that they do not grow while some instances are merely unreachable.
  std::size_t knownCount() const;

  /// Returns this instance followed by at most `Limit` randomly chosen members
  /// that are not lost.
  std::vector<MemberInfo> sample(std::size_t Limit, bool IsAdmissionRequired,
                                 framework::Instant Now,
                                 framework::Random &Rng) const;

private:
  /// The lost timeout grows with the number of members: a gossip message lists
  /// only some of them, so in a larger fleet each is listed less often.
  static constexpr framework::Duration LostTimeoutPerMember =
      std::chrono::milliseconds(200);
  static constexpr framework::Duration MinLostTimeout = std::chrono::seconds(6);
  static constexpr framework::Duration MaxLostTimeout =
      std::chrono::seconds(35);
  static constexpr framework::Duration RetentionPeriod =
      std::chrono::seconds(40);

  framework::Duration lostTimeout() const;
  /// Returns true when the member was unknown, has restarted or was lost.
  bool mergeMember(const MemberInfo &Reported, bool IsAdmitted,
                   framework::Instant LastSeenAt);

  MemberInfo Self_;
  std::map<framework::InstanceName, MemberState> Members_;
  std::uint64_t Version_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_MEMBERSHIP_H
