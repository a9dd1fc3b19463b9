#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEERADMISSION_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEERADMISSION_H

#include "fleet/types/memberinfo.h"
#include "fleet/types/transport.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::fleet {

/// The instances that have sent gossip and are not known to belong to the
/// fleet: candidates. Decides which of them are asked for evidence, and when.
/// The delay between the requests to a candidate grows, and candidates that are
/// silent are forgotten.
class PeerAdmission {
public:
  struct Candidate {
    MemberInfo Info_;
    /// How its last message arrived.
    Transport Via_ = Transport::Datagram;
    framework::Instant HeardAt_{};
    framework::Instant NextRequestAt_{};
    framework::Duration Delay_{};
    std::uint32_t Requests_ = 0;
  };

  /// Adds a provisional member as a candidate that is asked at once.
  void add(const MemberInfo &Member, framework::Instant Now);
  /// Records a message of an instance that is not admitted. Returns true when
  /// it was no candidate before and is to be asked for the first time by the
  /// caller.
  bool recordHeard(const MemberInfo &Sender, Transport Via,
                   framework::Instant Now);
  void forget(const framework::InstanceName &Name,
              framework::Incarnation Incarnation) {
    Candidates_.erase({Name, Incarnation});
    Evidence_.erase({Name, Incarnation});
  }

  /// Records the key of a record that an instance has shown before its address
  /// is known.
  void recordEvidence(const framework::InstanceName &Name,
                      framework::Incarnation Incarnation, std::string RecordKey,
                      framework::Instant Now);
  /// Removes and returns the key.
  std::optional<std::string> takeEvidence(const framework::InstanceName &Name,
                                          framework::Incarnation Incarnation);

  /// Returns the candidate of this name and incarnation, or null.
  const Candidate *find(const framework::InstanceName &Name,
                        framework::Incarnation Incarnation) const;

  /// Returns at most `Limit` candidates that are asked for evidence now, each
  /// with the number of earlier requests.
  std::vector<Candidate> takeDue(std::size_t Limit, framework::Instant Now);

private:
  /// Bounds the memory for names that senders make up.
  static constexpr std::size_t MaxCandidates = 512;
  static constexpr framework::Duration InitialDelay =
      std::chrono::milliseconds(100);
  static constexpr framework::Duration MaxDelay = std::chrono::seconds(10);
  static constexpr framework::Duration SilenceTimeout =
      std::chrono::seconds(15);

  using Key = std::pair<framework::InstanceName, framework::Incarnation>;

  struct Evidence {
    std::string RecordKey_;
    framework::Instant ReceivedAt_{};
  };

  std::map<Key, Candidate> Candidates_;
  std::map<Key, Evidence> Evidence_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_PEERADMISSION_H
