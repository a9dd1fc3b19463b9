#ifndef CRANBERRYSPOOL_FLEET_TYPES_CRASHUPDATE_H
#define CRANBERRYSPOOL_FLEET_TYPES_CRASHUPDATE_H

#include "fleet/types/crashnotice.h"
#include "framework/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Tells other instances which requests targets had when they crashed.
struct CrashUpdate {
  /// Keeps a message within one datagram.
  static constexpr std::size_t MaxNotices = 10;

  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  std::vector<CrashNotice> Notices_;

  friend bool operator==(const CrashUpdate &, const CrashUpdate &) = default;
};

/// Divides notices among messages that fit in a datagram each.
std::vector<CrashUpdate> makeCrashUpdates(const framework::InstanceName &From,
                                          framework::Incarnation Incarnation,
                                          std::vector<CrashNotice> Notices);

/// Returns why a message is not used; nothing when it is valid.
/// `SenderIncarnation` is the one that the receiver knows, if any.
std::optional<std::string>
findCrashUpdateFault(const CrashUpdate &Message,
                     std::optional<framework::Incarnation> SenderIncarnation);

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_CRASHUPDATE_H
