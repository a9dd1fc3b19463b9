#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADREPORTEXCHANGE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADREPORTEXCHANGE_H

#include "fleet/types/loadupdate.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "routing/types/loadreport.h"

#include <array>
#include <map>
#include <vector>

namespace cranberryspool::fleet {

/// Recipients of load reports: the peer group of this instance, the relays of
/// the zone's other groups, or the relays of other zones.
enum class LoadRecipients { OwnGroup, OtherGroups, OtherZones };

/// Queues load reports until they are sent to other instances, and records when
/// the health of each target was last reported and when this instance last
/// probed it.
class LoadReportExchange {
public:
  /// Queues a report that this instance received from the target itself for the
  /// peer group.
  void recordOwn(const framework::TargetName &Target,
                 const routing::LoadReport &Report, framework::Instant Now);
  /// Records the time of a health report that another instance has forwarded.
  void recordForwarded(const TargetLoad &Load, framework::Instant Now);
  void recordProbe(const framework::TargetName &Target,
                   framework::Instant Now) {
    ProbedAt_[Target] = Now;
  }
  /// Returns true when the report tells other instances of a target's request
  /// limit: that there is one, or that it has recently ended. Records the time
  /// of the former.
  bool recordLimit(const framework::TargetName &Target,
                   const routing::LoadReport &Report, framework::Instant Now);
  /// Queues a report, unless a newer one of the same target is queued.
  void enqueue(LoadRecipients Recipients, const TargetLoad &Load,
               framework::Instant Now);

  /// Removes the queued reports, of which there is one per target, and returns
  /// them in batches that fit in a datagram each. Outdated reports are dropped.
  std::vector<std::vector<TargetLoad>> takeQueued(LoadRecipients Recipients,
                                                  framework::Instant Now);
  bool hasQueued(LoadRecipients Recipients) const {
    return !queue(Recipients).empty();
  }

  /// Returns the time since the last health report of the target, which comes
  /// from a probe by this or another instance; the maximum without a report.
  framework::Duration healthAge(const framework::TargetName &Target,
                                framework::Instant Now) const;
  /// Returns the time since this instance probed the target; the maximum when
  /// it never did.
  framework::Duration probeAge(const framework::TargetName &Target,
                               framework::Instant Now) const;

private:
  struct TimedReport {
    routing::LoadReport Report_;
    framework::Instant ReceivedAt_;
  };
  using Queue = std::map<framework::TargetName, TimedReport>;

  /// Keeps an update within one datagram.
  static constexpr std::size_t MaxReportsPerUpdate = 24;
  static constexpr std::size_t RecipientKinds = 3;

  Queue &queue(LoadRecipients Recipients) {
    return Queues_[static_cast<std::size_t>(Recipients)];
  }
  const Queue &queue(LoadRecipients Recipients) const {
    return Queues_[static_cast<std::size_t>(Recipients)];
  }

  std::array<Queue, RecipientKinds> Queues_;
  std::map<framework::TargetName, framework::Instant> HealthReportedAt_;
  std::map<framework::TargetName, framework::Instant> ProbedAt_;
  /// When a request limit of the target was last reported.
  std::map<framework::TargetName, framework::Instant> LimitedAt_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_LOADREPORTEXCHANGE_H
