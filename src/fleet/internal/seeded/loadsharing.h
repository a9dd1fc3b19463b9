#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADSHARING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADSHARING_H

#include "fleet/types/loadnotice.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <array>
#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// Who is told of load reports: the neighbours, the tellers of the zone's other
/// groups, or those of other zones.
enum class LoadAudience { Group, Zone, OtherZones };

/// Collects load reports until others are told, and remembers when the health
/// of each target was last heard.
class LoadSharing {
public:
  void noteOwn(const framework::TargetName &Target,
               const routing::LoadReport &Report, framework::Instant Now);
  void noteShared(const SharedLoad &Load, framework::Instant Now);
  void recordProbe(const framework::TargetName &Target,
                   framework::Instant Now) {
    ProbedAt_[Target] = Now;
  }
  /// Keeps a report for others, unless a later one of its target is kept.
  void tell(LoadAudience To, const SharedLoad &Load, framework::Instant Now);

  /// Takes the reports that have not been told, the latest of each target only,
  /// in parts that each fit in a datagram.
  std::vector<std::vector<SharedLoad>> take(LoadAudience For,
                                            framework::Instant Now);
  bool hasNews(LoadAudience For) const { return !pending(For).empty(); }

  /// Returns the time since anybody probed the target, as far as was heard.
  framework::Duration healthAge(const framework::TargetName &Target,
                                framework::Instant Now) const;
  /// Returns the time since this instance probed it.
  framework::Duration probeAge(const framework::TargetName &Target,
                               framework::Instant Now) const;

private:
  struct Seen {
    routing::LoadReport Report_;
    framework::Instant At_;
  };
  using Pending = std::map<framework::TargetName, Seen>;

  /// Reports that fit in a datagram.
  static constexpr std::size_t MaxPerNotice = 24;
  static constexpr std::size_t Audiences = 3;

  Pending &pending(LoadAudience For) {
    return Pending_[static_cast<std::size_t>(For)];
  }
  const Pending &pending(LoadAudience For) const {
    return Pending_[static_cast<std::size_t>(For)];
  }

  std::array<Pending, Audiences> Pending_;
  std::map<framework::TargetName, framework::Instant> HealthHeardAt_;
  std::map<framework::TargetName, framework::Instant> ProbedAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADSHARING_H
