#ifndef CRANBERRYSPOOL_CAPACITY_DEMANDTABLE_H
#define CRANBERRYSPOOL_CAPACITY_DEMANDTABLE_H

#include "capacity/types/demandupdate.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cranberryspool::capacity {

/// The demand that the peers of an instance have last told it.
class DemandTable {
public:
  /// A figure that was not renewed for this long is not used any more. Peers
  /// renew theirs every 200 ms, so that two lost updates in a row do no harm.
  static constexpr framework::Duration Lifetime =
      std::chrono::milliseconds(700);
  /// An instance holds fewer calls of a service than this: its queue is shorter
  /// and its connections are fewer. Larger figures are impossible.
  static constexpr std::uint32_t MaxCalls = 10'000;

  /// Records an update. Returns why it is not used; nothing when it is valid or
  /// merely older than the last one of its sender.
  std::optional<std::string> record(const DemandUpdate &Update,
                                    framework::Instant Now);

  /// Returns the demand of a peer for a service; nothing when it is unknown or
  /// too old.
  std::optional<std::uint32_t> demand(const framework::InstanceName &Peer,
                                      const framework::ServiceName &Service,
                                      framework::Instant Now) const;

  /// Removes the figures that are too old.
  void expire(framework::Instant Now);

private:
  struct PeerDemand {
    framework::Incarnation Incarnation_;
    std::uint64_t Sequence_ = 0;
    std::map<framework::ServiceName, std::uint32_t> Calls_;
    framework::Instant ReceivedAt_{};
  };

  std::map<framework::InstanceName, PeerDemand> Peers_;
};

} // namespace cranberryspool::capacity

#endif // CRANBERRYSPOOL_CAPACITY_DEMANDTABLE_H
