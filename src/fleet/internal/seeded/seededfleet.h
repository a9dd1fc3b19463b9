#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SEEDEDFLEET_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SEEDEDFLEET_H

#include "document/types/publishedinstance.h"
#include "fleet/fleetsettings.h"
#include "fleet/internal/seeded/eventcontext.h"
#include "fleet/internal/seeded/loadreportexchange.h"
#include "fleet/internal/seeded/membership.h"
#include "fleet/internal/seeded/peeradmission.h"
#include "fleet/internal/seeded/peergroup.h"
#include "fleet/internal/seeded/storereplicator.h"
#include "fleet/output.h"
#include "fleet/types/crashnoticerecipients.h"
#include "fleet/types/groupposition.h"
#include "fleet/types/readfailure.h"
#include "framework/moment.h"
#include "framework/random.h"
#include "routing/types/senderrank.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranberryspool::fleet {

/// One instance's membership in a fleet that is discovered from seed addresses
/// by gossip, and that reads the document and the targets from the platform's
/// metadata store. The instance's shares of fleet-wide bounds are computed from
/// the members that were recently active.
class SeededFleet {
public:
  SeededFleet(FleetSettings Settings, framework::Random Rng);

  void start(framework::Moment Now, OutputList &Output);
  void tick(framework::Moment Now, OutputList &Output);
  framework::Instant nextWakeUp() const { return NextTickAt_; }

  void handle(const GossipMessage &Message, Transport Via,
              framework::Moment Now, OutputList &Output);
  void handle(const LoadUpdate &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const RecordUpdate &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const RecordPart &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const StoreAvailability &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const ViewReplaced &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const RecordRequest &Message, Transport Via,
              framework::Moment Now, OutputList &Output);
  void handle(const CrashUpdate &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const capacity::DemandUpdate &Message, framework::Moment Now,
              OutputList &Output);
  void setDemand(std::vector<capacity::ServiceDemand> Services) {
    Demand_ = std::move(Services);
  }
  std::optional<GroupPosition> groupPosition(framework::Instant Now) const;
  void sendCrashNotices(std::vector<CrashNotice> Notices,
                        CrashNoticeRecipients Recipients, framework::Moment Now,
                        OutputList &Output);
  /// Sends notices from another zone to the own zone, and those from another
  /// group to the own group.
  void forwardCrashNotices(std::vector<CrashNotice> Notices,
                           const framework::InstanceName &From,
                           framework::Moment Now, OutputList &Output);
  void recordLoad(const framework::TargetName &Target,
                  const routing::LoadReport &Report, framework::Instant Now);
  void handleAllRecords(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, framework::Moment Now,
                        OutputList &Output);
  void handleChangedRecords(const std::vector<StoredRecord> &Records,
                            framework::Revision AsOf, framework::Moment Now,
                            OutputList &Output);
  void handlePartOfChanges(const std::vector<StoredRecord> &Records,
                           framework::Revision UpTo, framework::Moment Now,
                           OutputList &Output);
  /// Handles a failed watch: the store no longer holds the changes after the
  /// requested revision.
  void handleHistoryLost(framework::Moment Now, OutputList &Output);
  void handleRecordsArriving(ReadKind Kind, framework::Moment Now,
                             OutputList &Output);
  void handleRecordsUnavailable(const ReadFailure &Failure,
                                framework::Moment Now, OutputList &Output);

  void handleStopRequest(framework::Moment Now, OutputList &Output);
  void handlePause(framework::Moment Now, OutputList &Output);
  void setSeeds(std::vector<std::string> Addresses);

  const StoreView &view() const { return Replicator_.view(); }
  bool isViewFresh(framework::Instant Now) const;
  bool isViewBehind() const { return Replicator_.isAnnouncedMissing(); }
  std::optional<StoreStatement> lastStatement(framework::Instant Now) const {
    return Replicator_.lastStatement(Now);
  }
  std::vector<document::PublishedInstance> peers() const;
  std::vector<document::PublishedInstance> runningPeers() const;
  /// Returns the other instances that are neither lost nor stopping.
  std::vector<MemberInfo> listRunningMembers() const;
  bool isRunningPeer(const framework::InstanceName &Name,
                     framework::Incarnation Incarnation,
                     const std::string &Address) const;
  /// Returns true when messages of this incarnation are handled: it is known to
  /// belong to the fleet, or is a member while the store holds no target that
  /// could show it.
  bool isTrusted(const framework::InstanceName &Name,
                 framework::Incarnation Incarnation) const;
  std::size_t fleetSize() const;
  /// Returns the number of instances that are neither lost nor stopping, this
  /// one included.
  std::size_t runningMembers() const { return Membership_.runningCount(); }

  ZonePosition zonePosition() const { return Group_.zonePosition(); }

  /// Returns the requests per second that this instance may send to a cold
  /// target, out of `FleetRate` for all instances together.
  double coldRate(const framework::TargetName &Target, double FleetRate,
                  framework::Instant Now) const;
  /// Returns this instance's share of the retry slack. The shares of all
  /// instances add up to at most the slack, also while parts of the fleet do
  /// not hear each other: a part uses the fraction of the slack that it reaches
  /// of the seeds. A new process uses at most one for the length of a retry
  /// window, since retries of the one before it may still count.
  double retrySlack(framework::Instant Now) const;
  /// Returns the rank of this instance among the running ones by rendezvous
  /// hashing; nothing until its discovery of the others is complete.
  std::optional<routing::SenderRank>
  senderRank(const framework::TargetName &Target, framework::Instant Now) const;
  /// Returns true when this instance may probe a target that should be probed
  /// at the given interval.
  bool mayProbe(const framework::TargetName &Target,
                framework::Duration Interval, framework::Instant Now) const;
  void recordProbe(const framework::TargetName &Target, framework::Instant Now);
  const FleetBounds &bounds() const { return Seeds_.Bounds_; }

private:
  /// Members listed in a gossip message besides its sender; keeps the message
  /// within one datagram.
  static constexpr std::size_t MaxMembersPerGossip = 18;
  /// The time after its start within which an instance may not know most others
  /// yet.
  static constexpr framework::Duration DiscoveryTime = std::chrono::seconds(1);

  /// The same for an instance that had no view until then: the others count it
  /// among the members only once they have admitted it.
  static constexpr framework::Duration LateDiscoveryTime =
      std::chrono::seconds(3);

  /// The state from which the shares of fleet-wide bounds are computed.
  struct ShareInputs {
    std::uint64_t MembershipVersion_ = 0;
    bool IsDiscoveryComplete_ = false;
    bool IsRetryWindowOver_ = false;

    bool operator==(const ShareInputs &) const = default;
  };

  /// Returns true while other instances can show by a record of a target that
  /// they read the same store.
  bool isAdmissionRequired() const { return view().hasTargets(); }
  /// Handles gossip of an instance that is not admitted. Only the sender is
  /// taken notice of.
  void handleGossipOfCandidate(const GossipMessage &Message, Transport Via,
                               framework::Instant Now, OutputList &Output);
  /// Sends evidence and gossip to an instance that may not know this one.
  void sendIntroduction(const std::string &Address, bool IsReplyRequested,
                        Transport Via, framework::Instant Now,
                        OutputList &Output);
  /// Admits the sender of gossip whose evidence has arrived before.
  bool admitByEarlierEvidence(const MemberInfo &Sender, framework::Instant Now,
                              OutputList &Output);
  void reportAdmitted(const framework::InstanceName &Name, std::string Source,
                      OutputList &Output);
  /// Admits the sender if it has shown a record of the own store.
  bool admitByEvidence(const RecordUpdate &Message, framework::Instant Now,
                       OutputList &Output);
  /// Returns true for a sender whose messages are handled; reports others.
  bool checkSender(const framework::InstanceName &Name,
                   framework::Incarnation Incarnation, const char *Kind,
                   framework::Instant Now, OutputList &Output);
  /// Asks candidates for evidence and removes provisional members that have
  /// shown none in time.
  void confirmMembers(framework::Instant Now, OutputList &Output);
  void removeUnconfirmed(OutputList &Output);
  /// Withdraws the admission of all members once the view was replaced: they
  /// have to show a record of the store that the new view holds.
  void withdrawAdmissions();
  /// Sends gossip once to each instance of the group, which ignores the updates
  /// of this one as long as nobody has told it of it.
  void introduceToGroup(framework::Instant Now, OutputList &Output);
  void requestEvidence(const PeerAdmission::Candidate &Candidate,
                       framework::Instant Now, OutputList &Output);
  /// Sends a few records as evidence, which change nothing at the receiver.
  void sendEvidence(const std::string &Address,
                    std::vector<ReplicatedRecord> Records, Transport Via,
                    OutputList &Output) const;
  void answerUntrusted(const RecordRequest &Message, Transport Via,
                       framework::Instant Now, OutputList &Output);
  /// Returns the number of running instances that rank above this one for the
  /// target, or `Limit` when there are more.
  std::size_t countHigherRanked(const framework::TargetName &Target,
                                std::size_t Limit) const;
  /// Returns true once this instance has run for long enough to know most
  /// others.
  bool isDiscoveryComplete(framework::Instant Now) const;
  /// Returns true once no retry of an earlier process of this instance counts
  /// any more.
  bool isRetryWindowOver(framework::Instant Now) const;
  /// Returns the number of seeds that are this instance or a known member.
  std::size_t countReachedSeeds() const;
  /// Emits `SharesChanged` when the inputs of the shares have changed: at most
  /// once per tick, however many members have joined.
  void notifySharesChanged(framework::Instant Now, OutputList &Output);
  /// Returns after which time without a health report a target of another zone
  /// is probed.
  framework::Duration
  crossZoneHealthTimeout(const framework::TargetName &Target) const;
  EventContext makeContext(framework::Moment Now, OutputList &Output) const;
  void sendLoads(const EventContext &Context);
  void sendDemand(const EventContext &Context);
  /// Returns the addresses of randomly chosen members that are not lost.
  std::vector<std::string> chooseMembers(std::size_t Count);
  std::vector<CrashUpdate>
  makeOwnCrashUpdates(std::vector<CrashNotice> Notices) const;
  LoadUpdate makeLoadUpdate() const;
  std::vector<LoadUpdate> takeLoadUpdates(LoadRecipients Recipients,
                                          framework::Instant Now);
  /// Queues health reports and news of request limits for the instances that
  /// have not received them: those from outside the group for the group, those
  /// from other zones for the zone, and for other zones the news of limits and
  /// the health of the own zone's targets.
  void forward(const LoadUpdate &Message, const EventContext &Context);
  bool isInOwnZone(const framework::TargetName &Target) const;
  void sendGossipRound(framework::Instant Now, OutputList &Output);
  void sendGossip(const std::string &Address, bool IsReplyRequested,
                  Transport Via, framework::Instant Now, OutputList &Output);
  void contactSeeds(framework::Instant Now, OutputList &Output);
  void contactSeedsOverConnections(framework::Instant Now, OutputList &Output);

  SeedSettings Seeds_;
  framework::Random Rng_;
  Membership Membership_;
  PeerAdmission Admission_;
  /// The replacement of the view after which members were admitted.
  std::uint64_t AdmittedSince_ = 0;
  /// When admission was last found to be required, while it is.
  std::optional<framework::Instant> AdmissionRequiredSince_;
  /// The instances of the group that this one has sent gossip to.
  std::map<framework::InstanceName, framework::Incarnation> IntroducedTo_;
  PeerGroup Group_;
  LoadReportExchange Loads_;
  StoreReplicator Replicator_;
  std::optional<std::vector<capacity::ServiceDemand>> Demand_;
  std::optional<std::vector<capacity::ServiceDemand>> SentDemand_;
  std::uint64_t DemandSequence_ = 0;
  framework::Instant NextDemandAt_{};
  bool IsStopping_ = false;
  ShareInputs NotifiedInputs_;
  framework::Instant StartedAt_{};
  /// When the view was loaded, if that took longer than the discovery time. The
  /// others admit an instance only once it has a view.
  std::optional<framework::Instant> LoadedLateAt_;
  /// When the peer group changed last. The health reports of a new group take a
  /// while to arrive.
  framework::Instant GroupChangedAt_{};
  framework::Instant NextTickAt_{};
  framework::Instant NextGossipAt_{};
  framework::Instant NextSeedContactAt_{};
  framework::Instant NextSeedConnectionAt_{};
  framework::Instant NextGroupUpdateAt_{};
  framework::Instant NextOtherGroupsUpdateAt_{};
  framework::Instant NextOtherZonesUpdateAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SEEDEDFLEET_H
