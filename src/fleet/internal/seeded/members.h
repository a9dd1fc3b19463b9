#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_MEMBERS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_MEMBERS_H

#include "fleet/types/gossipmessage.h"
#include "framework/ids.h"
#include "framework/random.h"
#include "framework/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The instances that were heard of lately, this one excluded, each by its
/// newest incarnation.
class Members {
public:
  struct Record {
    MemberInfo Known_;
    framework::Instant HeardAt_;
    bool IsStopping_ = false;
    bool IsLost_ = false;
  };

  explicit Members(MemberInfo Self) : Self_(std::move(Self)) {}

  /// Takes what a greeting tells. Returns true when its sender was not known
  /// or counted as lost.
  bool note(const GossipMessage &Message, framework::Instant Now);

  /// Takes another message of a known member as its sign of life.
  void noteAlive(const framework::InstanceName &Name,
                 framework::Incarnation Incarnation, framework::Instant Now);

  /// Marks those that have not been heard of for long as lost and forgets them
  /// later. Returns the names of those that were lost just now.
  std::vector<framework::InstanceName> expire(framework::Instant Now);

  const MemberInfo &self() const { return Self_; }
  const std::map<framework::InstanceName, Record> &records() const {
    return Records_;
  }

  /// Grows with each change of who is known, runs or stops.
  std::uint64_t changes() const { return Changes_; }

  /// Returns the instances that run as far as is known, this one included.
  std::size_t count() const;
  /// Returns the highest `count` of the last `PeakMemory`, so that a share of
  /// a bound does not grow while some instances are only cut off.
  std::size_t peak() const;

  /// Returns this instance and a random selection of the others.
  std::vector<MemberInfo> sample(std::size_t Most, framework::Instant Now,
                                  framework::Random &Rng) const;

private:
  /// Word of a member comes the more seldom the more members there are, since
  /// a greeting names only some of them.
  static constexpr framework::Duration LostAfterOfMember =
      std::chrono::milliseconds(200);
  static constexpr framework::Duration MinLostAfter = std::chrono::seconds(6);
  static constexpr framework::Duration MaxLostAfter = std::chrono::seconds(35);
  static constexpr framework::Duration PeakMemory = std::chrono::seconds(40);

  framework::Duration lostAfter() const;
  bool take(const MemberInfo &Told, framework::Instant HeardAt);

  MemberInfo Self_;
  std::map<framework::InstanceName, Record> Records_;
  std::uint64_t Changes_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_MEMBERS_H
