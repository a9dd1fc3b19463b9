#ifndef CRANBERRYSPOOL_FLEET_FLEET_H
#define CRANBERRYSPOOL_FLEET_FLEET_H

#include "calls/types/ending.h"
#include "document/types/environmentdocument.h"
#include "document/types/publishedinstance.h"
#include "fleet/fleetsettings.h"
#include "fleet/output.h"
#include "fleet/peermessage.h"
#include "fleet/types/crashnotice.h"
#include "fleet/types/crashnoticerecipients.h"
#include "fleet/types/groupposition.h"
#include "fleet/types/memberinfo.h"
#include "fleet/types/publishedtarget.h"
#include "fleet/types/readfailure.h"
#include "fleet/types/sectionreply.h"
#include "fleet/types/sectionrequest.h"
#include "fleet/types/storedrecord.h"
#include "fleet/types/storestatement.h"
#include "fleet/types/transport.h"
#include "fleet/types/zoneposition.h"
#include "framework/ids.h"
#include "framework/moment.h"
#include "framework/random.h"
#include "framework/time.h"
#include "routing/types/senderrank.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

class FleetState;
class SeededFleet;

/// The coordination state of one instance in the fleet: membership,
/// distribution of the published configuration, shares of fleet-wide limits and
/// ownership of idempotency keys. The class performs no I/O; requested actions
/// are appended to an `OutputList`. Times passed to it must never decrease.
class Fleet {
public:
  Fleet(FleetSettings Settings, framework::Random Rng);
  Fleet(Fleet &&) noexcept;
  Fleet &operator=(Fleet &&) noexcept;
  ~Fleet();

  /// Must be called once, before anything else.
  void start(framework::Moment Now, OutputList &Output);

  /// Must be called no later than `nextWakeUp`.
  void tick(framework::Moment Now, OutputList &Output);
  framework::Instant nextWakeUp() const;

  /// Handles a document returned by the platform.
  void handleDocument(framework::Revision Revision, const std::string &Text,
                      framework::Moment Now, OutputList &Output);
  /// Handles a list of instances returned by the platform.
  void
  handleInstances(framework::Revision Revision,
                  const std::vector<document::PublishedInstance> &Instances,
                  framework::Moment Now, OutputList &Output);
  /// Handles a watch that ended without a newer value.
  void handleUnchanged(SectionKind Kind, framework::Moment Now,
                       OutputList &Output);
  /// Handles a read or watch that failed or timed out.
  void handleReadFailure(SectionKind Kind, framework::Moment Now,
                         OutputList &Output);

  /// Handles a complete snapshot of the platform's metadata store.
  void handleAllRecords(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, framework::Moment Now,
                        OutputList &Output);
  /// Handles the end of a watch on the metadata store, with or without changes.
  void handleChangedRecords(const std::vector<StoredRecord> &Records,
                            framework::Revision AsOf, framework::Moment Now,
                            OutputList &Output);
  /// Handles the first changes of a watch, up to revision `UpTo`, of which the
  /// store may have left out the later ones.
  void handlePartOfChanges(const std::vector<StoredRecord> &Records,
                           framework::Revision UpTo, framework::Moment Now,
                           OutputList &Output);
  /// Handles a watch whose start revision is no longer in the store's change
  /// history.
  void handleHistoryLost(framework::Moment Now, OutputList &Output);
  /// Handles the beginning of a large answer of the metadata store.
  void handleRecordsArriving(ReadKind Kind, framework::Moment Now,
                             OutputList &Output);
  /// Handles a failed read of the metadata store; `Reason` says what failed.
  void handleRecordsUnavailable(const ReadFailure &Failure,
                                framework::Moment Now, OutputList &Output);
  /// Replaces the addresses of the seeds.
  void setSeeds(std::vector<std::string> Addresses);

  /// A request that came over a connection is answered over one.
  void handlePeerMessage(const PeerMessage &Message, Transport Via,
                         framework::Moment Now, OutputList &Output);
  /// Handles a peer's response to `FetchSections`.
  void handleSections(const std::string &PeerAddress, const SectionReply &Reply,
                      framework::Moment Now, OutputList &Output);
  void handleSectionsUnavailable(const std::string &PeerAddress);
  /// Answers a peer's request from the values accepted by this instance.
  SectionReply serveSections(const SectionRequest &Request) const;

  /// Starts the shutdown of this instance: its tasks pass to its peers.
  void handleStopRequest(framework::Moment Now, OutputList &Output);
  /// Returns true when no keys are left to hand over.
  bool isHandoverDone() const;
  /// Handles the end of a pause of the process, such as a suspended machine.
  /// Everything learned before the pause may be out of date.
  void handlePause(framework::Moment Now, OutputList &Output);
  /// Handles a restart of a target that this instance has observed itself.
  void handleTargetRestart(const framework::TargetName &Target,
                           framework::Incarnation StartId,
                           framework::Moment Now, OutputList &Output);

  /// Records a load report that this instance received from a target.
  void recordLoad(const framework::TargetName &Target,
                  const routing::LoadReport &Report, framework::Instant Now);

  /// Sets the demand that the next `tick` tells the peer group. Services
  /// without demand are left out.
  void setDemand(std::vector<capacity::ServiceDemand> Services);
  /// Returns the position of this instance's peer group; nothing while a
  /// starting instance does not know most of the others, and where the platform
  /// publishes a list of instances.
  std::optional<GroupPosition> groupPosition(framework::Instant Now) const;

  /// Sends crash notices to other instances.
  void sendCrashNotices(std::vector<CrashNotice> Notices,
                        CrashNoticeRecipients Recipients, framework::Moment Now,
                        OutputList &Output);
  /// Passes on what another instance has reported, to the instances that its
  /// sender does not reach itself.
  void forwardCrashNotices(std::vector<CrashNotice> Notices,
                           const framework::InstanceName &From,
                           framework::Moment Now, OutputList &Output);

  /// Records whether this instance knows the target to be warm.
  void setWarm(const framework::TargetName &Target, bool IsWarm);

  /// Returns the current document, or null before the first one is accepted.
  /// The pointer is valid until the next `DocumentApplied`.
  const document::EnvironmentDocument *currentDocument() const;
  framework::Revision documentRevision() const;
  framework::Revision listRevision() const;
  /// Returns the published targets, sorted by name.
  const std::vector<document::PublishedInstance> &publishedTargets() const;
  /// Returns the published instances of the load balancer, sorted by name.
  std::vector<document::PublishedInstance> publishedPeers() const;

  /// Returns the other instances that are neither lost nor stopping; none where
  /// the platform publishes a list of instances.
  std::vector<document::PublishedInstance> runningPeers() const;
  /// Returns the same instances with their incarnations.
  std::vector<MemberInfo> listRunningMembers() const;
  /// Returns true when messages of this incarnation are handled; always where
  /// the platform publishes a list of instances.
  bool isTrustedPeer(const framework::InstanceName &Name,
                     framework::Incarnation Incarnation) const;
  /// Returns true when the running instance of this name has the given
  /// incarnation and IP address.
  bool isRunningPeer(const framework::InstanceName &Name,
                     framework::Incarnation Incarnation,
                     const std::string &Address) const;

  /// Returns the targets in the platform's metadata store; targets in evacuated
  /// zones are marked as draining. Empty where the platform publishes a list of
  /// instances instead.
  std::vector<PublishedTarget> storedTargets() const;
  /// Returns true when targets come from the platform's metadata store rather
  /// than from a published list of instances.
  bool readsStore() const { return Seeded_ != nullptr; }
  /// Returns the largest number of instances that may be running, including
  /// this one.
  std::size_t fleetSize() const;
  /// Returns the position of this instance in its availability zone; nothing
  /// where the platform publishes a list of instances.
  std::optional<ZonePosition> zonePosition() const;
  /// Returns limits for the sum over all instances; null where the document
  /// sets these limits.
  const FleetBounds *bounds() const;
  /// Returns this instance's share of the retry slack, in retries per window;
  /// zero where the document sets the limits.
  double retrySlack(framework::Instant Now) const;
  /// Returns the age of this instance's copy of the metadata store; zero where
  /// the platform publishes a list of instances instead.
  framework::Duration viewAge(framework::Instant Now) const;

  /// Returns what the metadata store has last stated to this instance itself;
  /// nothing before its first answer, and where the platform publishes a list
  /// of instances instead.
  std::optional<StoreStatement>
  lastStoreStatement(framework::Instant Now) const;

  /// Returns true while other instances are known to have newer changes of the
  /// metadata store.
  bool isViewBehind() const;

  /// Returns true while new requests may be sent to targets. Also false while a
  /// starting instance has not yet asked its peers for their document.
  bool isViewFresh(framework::Instant Now) const;
  /// Returns the number of requests that this instance may have in flight at a
  /// cold target.
  std::uint32_t coldShare(const framework::TargetName &Target,
                          framework::Instant Now) const;
  /// Returns the requests per second that this instance may send to a cold
  /// target, as its share of `FleetRate` for the whole fleet; nothing when only
  /// the number of requests in flight is limited.
  std::optional<double> coldRate(const framework::TargetName &Target,
                                 double FleetRate,
                                 framework::Instant Now) const;
  /// Returns the rank of this instance among those that may send requests to a
  /// target. Returns nothing while a starting instance does not know most of
  /// the others.
  std::optional<routing::SenderRank>
  senderRank(const framework::TargetName &Target, framework::Instant Now) const;
  /// Returns the number of connections that this instance may hold to a target.
  std::uint32_t connectionShare(const framework::TargetName &Target) const;
  /// Returns true when this instance may probe the target now. `Interval` is
  /// the time between two probes that serve all instances.
  bool mayProbe(const framework::TargetName &Target,
                framework::Duration Interval, framework::Instant Now) const;
  /// Must be called after each probe is sent.
  void recordProbe(const framework::TargetName &Target, framework::Instant Now);

  /// Requests permission to run a call with an idempotency key. Answered by
  /// `KeyDecided`, immediately or later.
  void requestKey(framework::CallId Call, const framework::IdempotencyKey &Key,
                  framework::Moment Now, OutputList &Output);
  /// Must be called after each `KeyDecided` with `Run`, once the call has
  /// ended.
  void handleKeyedCallEnd(framework::CallId Call, calls::Ending Ending,
                          bool IsResponseStored, framework::Moment Now,
                          OutputList &Output);

private:
  /// Exactly one of `State_` and `Seeded_` is set: `Seeded_` where instances
  /// discover each other through seeds.
  std::unique_ptr<FleetState> State_;
  std::unique_ptr<SeededFleet> Seeded_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_FLEET_H
