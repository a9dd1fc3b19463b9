#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_FLEETADAPTER_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_FLEETADAPTER_H

#include "decision/internal/corestate.h"
#include "decision/internal/environmentupdater.h"
#include "decision/internal/eventcontext.h"
#include "decision/internal/keyedcallhandler.h"
#include "decision/internal/stopsequence.h"
#include "decision/types/events/documentpublished.h"
#include "decision/types/events/documentunavailable.h"
#include "decision/types/events/documentunchanged.h"
#include "decision/types/events/instancespublished.h"
#include "decision/types/events/instancesunavailable.h"
#include "decision/types/events/instancesunchanged.h"
#include "decision/types/events/peermessagereceived.h"
#include "decision/types/events/recordhistorylost.h"
#include "decision/types/events/recordschanged.h"
#include "decision/types/events/recordsread.h"
#include "decision/types/events/recordsunavailable.h"
#include "decision/types/events/sectionsfetched.h"
#include "decision/types/events/sectionsrequested.h"
#include "decision/types/events/sectionsunavailable.h"
#include "decision/types/events/seedschanged.h"
#include "fleet/output.h"

namespace cranberryspool::decision {

/// Joins this instance's part in the fleet to the core: tells it what the
/// shells report and carries out what it asks for.
class FleetLink {
public:
  FleetLink(CoreParts &Parts, EnvironmentKeeper &Keeper, KeyedCalls &Keyed,
            StopSequence &Stop)
      : Parts_(Parts), Keeper_(Keeper), Keyed_(Keyed), Stop_(Stop) {}

  void handle(const Step &At, const DocumentPublished &Input);
  void handle(const Step &At, const DocumentUnchanged &Input);
  void handle(const Step &At, const DocumentUnavailable &Input);
  void handle(const Step &At, const InstancesPublished &Input);
  void handle(const Step &At, const InstancesUnchanged &Input);
  void handle(const Step &At, const InstancesUnavailable &Input);
  void handle(const Step &At, const PeerMessageReceived &Input);
  void handle(const Step &At, const SectionsFetched &Input);
  void handle(const Step &At, const SectionsUnavailable &Input);
  void handle(const Step &At, const SectionsRequested &Input);
  void handle(const Step &At, const RecordsRead &Input);
  void handle(const Step &At, const RecordsChanged &Input);
  void handle(const Step &At, const RecordHistoryLost &Input);
  void handle(const Step &At, const RecordsUnavailable &Input);
  void handle(const Step &At, const SeedsChanged &Input);

  /// Carries out everything that the fleet has asked for.
  void carryOut(const Step &At);

private:
  void apply(const Step &At, const fleet::DocumentInForce &Asked);
  void apply(const Step &At, const fleet::DocumentRejected &Asked);
  void apply(const Step &At, const fleet::FetchSections &Asked);
  void apply(const Step &At, const fleet::InstancesChanged &Asked);
  void apply(const Step &At, const fleet::KeptAnswerExpired &Asked);
  void apply(const Step &At, const fleet::KeyDecided &Asked);
  void apply(const Step &At, const fleet::LoadShared &Asked);
  void apply(const Step &At, const fleet::OlderIgnored &Asked);
  void apply(const Step &At, const fleet::PeerChanged &Asked);
  void apply(const Step &At, const fleet::ReadPublished &Asked);
  void apply(const Step &At, const fleet::ReadRecords &Asked);
  void apply(const Step &At, const fleet::RecordRejected &Asked);
  void apply(const Step &At, const fleet::SendMessage &Asked);
  void apply(const Step &At, const fleet::SharesChanged &Asked);
  void apply(const Step &At, const fleet::Superseded &Asked);
  void apply(const Step &At, const fleet::TargetReportedCold &Asked);
  void apply(const Step &At, const fleet::TargetReportedWarm &Asked);
  void apply(const Step &At, const fleet::TargetsChanged &Asked);
  void apply(const Step &At, const fleet::ViewChanged &Asked);
  void report(const Step &At, ChangeKind Kind, std::string Subject);

  CoreParts &Parts_;
  EnvironmentKeeper &Keeper_;
  KeyedCalls &Keyed_;
  StopSequence &Stop_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_FLEETADAPTER_H
