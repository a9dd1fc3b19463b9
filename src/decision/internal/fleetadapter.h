#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_FLEETADAPTER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_FLEETADAPTER_H

#include "decision/internal/accessguard.h"
#include "decision/internal/corestate.h"
#include "decision/internal/crashguard.h"
#include "decision/internal/environmentupdater.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/keyedcallhandler.h"
#include "decision/internal/quotaguard.h"
#include "decision/internal/stopsequence.h"
#include "decision/types/events/documentpublished.h"
#include "decision/types/events/documentunavailable.h"
#include "decision/types/events/documentunchanged.h"
#include "decision/types/events/instancespublished.h"
#include "decision/types/events/instancesunavailable.h"
#include "decision/types/events/instancesunchanged.h"
#include "decision/types/events/peermessagereceived.h"
#include "decision/types/events/peermessageunreadable.h"
#include "decision/types/events/recordhistorylost.h"
#include "decision/types/events/recordsarriving.h"
#include "decision/types/events/recordschanged.h"
#include "decision/types/events/recordsread.h"
#include "decision/types/events/recordsunavailable.h"
#include "decision/types/events/sectionsfetched.h"
#include "decision/types/events/sectionsrequested.h"
#include "decision/types/events/sectionsunavailable.h"
#include "decision/types/events/seedschanged.h"
#include "fleet/output.h"

namespace cranberryspool::decision {

/// Connects the fleet module to the core: forwards the events that the shell
/// reports to it and processes its outputs.
class FleetAdapter {
public:
  FleetAdapter(CoreState &Core, EnvironmentUpdater &Updater,
               KeyedCallHandler &KeyHandler, StopSequence &Stop,
               CrashGuard &Crashes, AccessGuard &Access, QuotaGuard &Quota)
      : Core_(Core), EnvironmentUpdater_(Updater), KeyHandler_(KeyHandler),
        Stop_(Stop), Crashes_(Crashes), Access_(Access), Quota_(Quota) {}

  void handle(const EventContext &Context, const DocumentPublished &Input);
  void handle(const EventContext &Context, const DocumentUnchanged &Input);
  void handle(const EventContext &Context, const DocumentUnavailable &Input);
  void handle(const EventContext &Context, const InstancesPublished &Input);
  void handle(const EventContext &Context, const InstancesUnchanged &Input);
  void handle(const EventContext &Context, const InstancesUnavailable &Input);
  void handle(const EventContext &Context, const PeerMessageReceived &Input);
  void handle(const EventContext &Context, const PeerMessageUnreadable &Input);
  void handle(const EventContext &Context, const SectionsFetched &Input);
  void handle(const EventContext &Context, const SectionsUnavailable &Input);
  void handle(const EventContext &Context, const SectionsRequested &Input);
  void handle(const EventContext &Context, const RecordsRead &Input);
  void handle(const EventContext &Context, const RecordsChanged &Input);
  void handle(const EventContext &Context, const RecordHistoryLost &Input);
  void handle(const EventContext &Context, const RecordsArriving &Input);
  void handle(const EventContext &Context, const RecordsUnavailable &Input);
  void handle(const EventContext &Context, const SeedsChanged &Input);

  /// Processes all pending outputs of the fleet module.
  void processOutputs(const EventContext &Context);
  /// Returns when changes that were put off are applied; nothing when there are
  /// none.
  std::optional<framework::Instant> nextWakeUp() const;

private:
  void apply(const EventContext &Context, const fleet::DocumentApplied &Output);
  void apply(const EventContext &Context, const fleet::DemandReceived &Output);
  void apply(const EventContext &Context,
             const fleet::DocumentRejected &Output);
  void apply(const EventContext &Context, const fleet::FetchSections &Output);
  void apply(const EventContext &Context,
             const fleet::InstancesChanged &Output);
  void apply(const EventContext &Context,
             const fleet::StoredResponseExpired &Output);
  void apply(const EventContext &Context, const fleet::KeyDecided &Output);
  void apply(const EventContext &Context, const fleet::LoadReceived &Output);
  void apply(const EventContext &Context,
             const fleet::StaleValueIgnored &Output);
  void apply(const EventContext &Context,
             const fleet::PeerReachabilityChanged &Output);
  void apply(const EventContext &Context, const fleet::ReadPublished &Output);
  void apply(const EventContext &Context, const fleet::ReadRecords &Output);
  void apply(const EventContext &Context, const fleet::RecordRejected &Output);
  void apply(const EventContext &Context, const fleet::SendMessage &Output);
  void apply(const EventContext &Context, const fleet::SharesChanged &Output);
  void apply(const EventContext &Context, const fleet::Superseded &Output);
  void apply(const EventContext &Context,
             const fleet::TargetReportedCold &Output);
  void apply(const EventContext &Context,
             const fleet::TargetReportedWarm &Output);
  void apply(const EventContext &Context, const fleet::TargetsChanged &Output);
  void apply(const EventContext &Context, const fleet::ViewChanged &Output);
  void apply(const EventContext &Context,
             const fleet::ViewFreshnessChanged &Output);
  void apply(const EventContext &Context,
             const fleet::CrashNoticesReceived &Output);
  void apply(const EventContext &Context,
             const fleet::PeerMessageRejected &Output);
  void apply(const EventContext &Context, const fleet::PeerAdmitted &Output);
  void apply(const EventContext &Context,
             const fleet::PeerNotConfirmed &Output);
  /// Applies changed targets and shares, unless the last application was so
  /// recent that they are put off.
  void applyChanges(const EventContext &Context);
  void reportRejectedMessage(const EventContext &Context, std::string Subject);
  void report(const EventContext &Context, ChangeKind Kind,
              std::string Subject);

  CoreState &Core_;
  EnvironmentUpdater &EnvironmentUpdater_;
  KeyedCallHandler &KeyHandler_;
  StopSequence &Stop_;
  CrashGuard &Crashes_;
  AccessGuard &Access_;
  QuotaGuard &Quota_;
  bool AreTargetsChanged_ = false;
  bool AreSharesChanged_ = false;
  /// Before this time, changed targets and shares are put off.
  framework::Instant NextApplication_{};
  /// When a rejected message was last logged.
  std::optional<framework::Instant> RejectionLoggedAt_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_FLEETADAPTER_H
