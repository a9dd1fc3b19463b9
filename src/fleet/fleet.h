#ifndef CRANBERRYSPOOL_FLEET_FLEET_H
#define CRANBERRYSPOOL_FLEET_FLEET_H

#include "calls/types/ending.h"
#include "document/types/environmentdocument.h"
#include "document/types/publishedinstance.h"
#include "fleet/fleetsettings.h"
#include "fleet/output.h"
#include "fleet/peermessage.h"
#include "fleet/types/publishedtarget.h"
#include "fleet/types/sectionreply.h"
#include "fleet/types/sectionrequest.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/moment.h"
#include "framework/random.h"
#include "framework/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

class FleetState;
class SeededFleet;

/// One instance's part in the fleet: membership, the spread of published
/// values, shares of fleet-wide bounds and the homes of idempotency keys. It
/// does no I/O. All times that it is given must not go back.
class Fleet {
public:
  Fleet(FleetSettings Settings, framework::Random Rng);
  Fleet(Fleet &&) noexcept;
  Fleet &operator=(Fleet &&) noexcept;
  ~Fleet();

  /// Must be called once, before anything else.
  void start(framework::Moment Now, OutputList &Output);

  /// Must be called at `nextWakeUp` at the latest.
  void tick(framework::Moment Now, OutputList &Output);
  framework::Instant nextWakeUp() const;

  /// The platform returned the document.
  void handleDocument(framework::Revision Revision, const std::string &Text,
                      framework::Moment Now, OutputList &Output);
  /// The platform returned the list of instances.
  void
  handleInstances(framework::Revision Revision,
                  const std::vector<document::PublishedInstance> &Instances,
                  framework::Moment Now, OutputList &Output);
  /// A watch ended without a newer value.
  void handleUnchanged(SectionKind Kind, framework::Moment Now,
                       OutputList &Output);
  /// A read or watch failed or timed out.
  void handleReadFailure(SectionKind Kind, framework::Moment Now,
                         OutputList &Output);

  /// The store returned all its entries.
  void handleAllRecords(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, framework::Moment Now,
                        OutputList &Output);
  /// A watch of the store ended, with changes or without.
  void handleChangedRecords(const std::vector<StoredRecord> &Records,
                            framework::Revision AsOf, framework::Moment Now,
                            OutputList &Output);
  /// The store has dropped the changes that a watch asked for.
  void handleHistoryLost(framework::Moment Now, OutputList &Output);
  void handleRecordsUnavailable(framework::Moment Now, OutputList &Output);
  /// The seeds were set anew.
  void setSeeds(std::vector<std::string> Addresses);

  void handlePeerMessage(const PeerMessage &Message, framework::Moment Now,
                         OutputList &Output);
  /// A peer answered `FetchSections`.
  void handleSections(const std::string &PeerAddress, const SectionReply &Reply,
                      framework::Moment Now, OutputList &Output);
  void handleSectionsUnavailable(const std::string &PeerAddress);
  /// Answers a peer's request from the accepted values.
  SectionReply serveSections(const SectionRequest &Request) const;

  /// This instance leaves: what it leads goes to others.
  void handleStopRequest(framework::Moment Now, OutputList &Output);
  /// True when nothing is left to hand over.
  bool isHandoverDone() const;
  /// The process did not run for a while: nothing known before counts.
  void handlePause(framework::Moment Now, OutputList &Output);
  /// This instance saw that a target started again.
  void handleTargetRestart(const framework::TargetName &Target,
                           framework::Incarnation StartId,
                           framework::Moment Now, OutputList &Output);

  /// A target has reported its load to this instance.
  void recordLoad(const framework::TargetName &Target,
                  const routing::LoadReport &Report, framework::Instant Now);

  /// This instance knows that a target is warm, or no longer knows it.
  void setWarm(const framework::TargetName &Target, bool IsWarm);

  /// Returns the document in force, or null before there is one. Valid until
  /// the next `DocumentApplied`.
  const document::EnvironmentDocument *currentDocument() const;
  framework::Revision documentRevision() const;
  framework::Revision listRevision() const;
  /// Returns the published targets, sorted by name.
  const std::vector<document::PublishedInstance> &publishedTargets() const;
  /// Returns the published instances of this system, sorted by name.
  std::vector<document::PublishedInstance> publishedPeers() const;

  /// Returns the targets of the platform's store; those in evacuated zones are
  /// marked as draining. Empty where the platform publishes a list.
  std::vector<PublishedTarget> storedTargets() const;
  /// True when targets come from the platform's store, not from a list.
  bool readsStore() const { return Seeded_ != nullptr; }
  /// The most instances that may run, this one included.
  std::size_t fleetSize() const;
  /// Bounds for the sum over all instances; null where the document sets them.
  const FleetBounds *bounds() const;
  /// How old the view of the platform's store is; zero where it does not count.
  framework::Duration viewAge(framework::Instant Now) const;

  /// True while new work may be sent to targets. False as well until a
  /// starting instance has asked its peers for their document.
  bool isViewFresh(framework::Instant Now) const;
  /// The requests in flight that this instance may have at a cold target.
  std::uint32_t coldShare(const framework::TargetName &Target,
                          framework::Instant Now) const;
  /// The requests a second that this instance may send to a cold target, of
  /// `FleetRate` that all may send; nothing when only those in flight count.
  std::optional<double> coldRate(const framework::TargetName &Target,
                                 double FleetRate,
                                 framework::Instant Now) const;
  /// The connections that this instance may hold to a target.
  std::uint32_t connectionShare(const framework::TargetName &Target) const;
  /// True when this instance may probe the target now.
  bool mayProbe(const framework::TargetName &Target,
                framework::Instant Now) const;
  /// Must follow each probe that is sent.
  void recordProbe(const framework::TargetName &Target, framework::Instant Now);

  /// Asks for leave to run a call with a key. Answered by `KeyDecided`, at once
  /// or later.
  void requestKey(framework::CallId Call, const framework::IdempotencyKey &Key,
                  framework::Moment Now, OutputList &Output);
  /// Must follow each `KeyDecided` with `Run`, once the call has ended.
  void handleKeyedCallEnd(framework::CallId Call, calls::Ending Ending,
                          bool IsAnswerKept, framework::Moment Now,
                          OutputList &Output);

private:
  /// One of the two.
  std::unique_ptr<FleetState> State_;
  std::unique_ptr<SeededFleet> Seeded_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_FLEET_H
