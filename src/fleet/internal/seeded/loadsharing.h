#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADSHARING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADSHARING_H

#include "fleet/types/loadnotice.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// Collects the load reports that this instance receives until its neighbours
/// are told, and remembers when the health of each target was last heard.
class LoadSharing {
public:
  void noteOwn(const framework::TargetName &Target,
               const routing::LoadReport &Report, framework::Instant Now);
  void noteShared(const SharedLoad &Load, framework::Instant Now);
  void noteProbed(const framework::TargetName &Target, framework::Instant Now) {
    ProbedAt_[Target] = Now;
  }

  /// Keeps the report of a probe until other zones are told of it.
  void noteForOtherZones(const framework::TargetName &Target,
                         const routing::LoadReport &Report,
                         framework::Instant SeenAt);
  /// Takes what other zones have not been told, in parts that each fit in a
  /// datagram.
  std::vector<std::vector<SharedLoad>>
  takeForOtherZones(framework::Instant Now);

  /// Takes the reports that have not been told, as many as fit in a datagram,
  /// the latest of each target only.
  std::vector<SharedLoad> take(framework::Instant Now);
  bool hasNews() const { return !Pending_.empty(); }

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

  /// Reports that fit in a datagram.
  static constexpr std::size_t MaxPerNotice = 24;

  std::map<framework::TargetName, Seen> Pending_;
  std::map<framework::TargetName, Seen> PendingAbroad_;
  std::map<framework::TargetName, framework::Instant> HealthHeardAt_;
  std::map<framework::TargetName, framework::Instant> ProbedAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADSHARING_H
