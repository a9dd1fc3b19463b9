#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_FLEETSTATE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_FLEETSTATE_H

#include "fleet/fleetsettings.h"
#include "fleet/internal/confirmation.h"
#include "fleet/internal/documentstore.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/keyadmission.h"
#include "fleet/internal/keyrequester.h"
#include "fleet/internal/peertable.h"
#include "fleet/internal/platformreader.h"
#include "fleet/internal/readerorder.h"
#include "fleet/internal/restartnotices.h"
#include "fleet/internal/sectionfetcher.h"
#include "fleet/internal/targetshares.h"
#include "fleet/output.h"
#include "fleet/types/crashnoticerecipients.h"
#include "framework/moment.h"
#include "framework/random.h"
#include "routing/types/senderrank.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The implementation of `Fleet` for instances that are listed by the platform:
/// owns the components and connects them.
class FleetState {
public:
  FleetState(FleetSettings Settings, framework::Random Rng);

  void start(framework::Moment Now, OutputList &Output);
  void tick(framework::Moment Now, OutputList &Output);
  framework::Instant nextWakeUp() const;

  void handleDocument(framework::Revision Revision, const std::string &Text,
                      framework::Moment Now, OutputList &Output);
  void
  handleInstances(framework::Revision Revision,
                  const std::vector<document::PublishedInstance> &Instances,
                  framework::Moment Now, OutputList &Output);
  void handleUnchanged(SectionKind Kind, framework::Moment Now,
                       OutputList &Output);
  void handleReadFailure(SectionKind Kind, framework::Moment Now,
                         OutputList &Output);
  void handleSections(const std::string &PeerAddress, const SectionReply &Reply,
                      framework::Moment Now, OutputList &Output);
  void handleSectionsUnavailable(const std::string &PeerAddress);

  void handle(const Heartbeat &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const HeartbeatAck &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const KeyRequest &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const KeyReply &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const KeyEnded &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const KeyEndedAck &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const KeyHandover &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const KeyHandoverAck &Message, framework::Moment Now,
              OutputList &Output);

  void handle(const CrashUpdate &Message, framework::Moment Now,
              OutputList &Output);
  void sendCrashNotices(std::vector<CrashNotice> Notices,
                        CrashNoticeRecipients Recipients, OutputList &Output);

  void requestKey(framework::CallId Call, const framework::IdempotencyKey &Key,
                  framework::Moment Now, OutputList &Output);
  void handleKeyedCallEnd(framework::CallId Call, calls::Ending Ending,
                          bool IsResponseStored, framework::Moment Now,
                          OutputList &Output);
  bool isHandoverDone() const { return KeyAdmission_.isHandoverDone(); }

  void handlePause(framework::Moment Now, OutputList &Output);
  void handleTargetRestart(const RestartNotice &Notice, framework::Moment Now,
                           OutputList &Output);
  void setWarm(const framework::TargetName &Target, bool IsWarm);
  void handleStopRequest() { IsStopping_ = true; }

  bool isViewFresh(framework::Instant Now) const;
  const DocumentStore &documents() const { return Documents_; }
  const InstanceStore &instances() const { return Instances_; }
  const PeerTable &peers() const { return Peers_; }
  TargetShares &shares() { return Shares_; }
  /// Returns the rank of this instance among the published ones that are not
  /// leaving.
  routing::SenderRank senderRank(const framework::TargetName &Target) const;
  const TargetShares &shares() const { return Shares_; }

private:
  struct PendingDocument {
    framework::Revision Revision_;
    std::string Text_;
    framework::Instant RequestedAt_;
  };

  PeerView view(framework::Instant Now) const;
  bool isKeyOwner(const framework::IdempotencyKey &Key) const;
  bool isStarting() const { return !IsStarted_; }
  /// Ends startup once the peers have been asked for their document and a
  /// document is available.
  void tryFinishStartup(framework::Instant Now, OutputList &Output);
  bool haveAllPeersAcked() const;

  bool shouldRead(const Confirmation &Confirmed,
                  framework::Instant ReadingUntil,
                  framework::Instant Now) const;
  void readPlatform(framework::Instant Now, OutputList &Output);
  /// Applies a document that arrived after its read had timed out. Such a late
  /// document may be newer than the accepted one, but confirms nothing.
  void applyLateDocument(framework::Revision Revision, const std::string &Text,
                         framework::Moment Now, OutputList &Output);
  void applyDocument(UpdateResult Result, framework::Revision Revision,
                     framework::Instant Now, OutputList &Output);
  void applyInstances(UpdateResult Result, framework::Revision Revision,
                      framework::Instant Now, OutputList &Output);
  void fetchNewerFrom(const std::string &PeerAddress, const PeerView &View,
                      framework::Instant Now, OutputList &Output);
  void applyRestartNotices(const std::vector<RestartNotice> &Notices,
                           framework::Instant Now, OutputList &Output);

  std::optional<WarmTargets> warmTargets() const;
  void applyWarmTargets(const WarmTargets &Warm, OutputList &Output);

  void sendHeartbeat(const std::string &PeerAddress, framework::Instant Now,
                     OutputList &Output);
  void sendHeartbeatRound(framework::Instant Now, OutputList &Output);
  /// Sends heartbeats to a few peers immediately, to propagate an update.
  void pushUpdate(framework::Instant Now, OutputList &Output);
  std::size_t heartbeatsPerRound(framework::Instant Now) const;
  /// Returns true while heartbeats are sent more often, to find a peer with a
  /// recent confirmation.
  bool isConfirmationOverdue(framework::Instant Now) const;
  const std::string *nextPeer();
  const std::string *nextReader();
  /// Recomputes freshness, shares and key ownership, and reports changes.
  void reevaluate(framework::Moment Moment, OutputList &Output);

  FleetSettings Settings_;
  framework::Random Rng_;
  DocumentStore Documents_;
  InstanceStore Instances_;
  PeerTable Peers_;
  ReaderOrder Readers_;
  TargetShares Shares_;
  KeyAdmission KeyAdmission_;
  KeyRequester KeyRequester_;
  RestartNotices RestartNotices_;
  PlatformReader DocumentReader_{SectionKind::Document};
  PlatformReader ListReader_{SectionKind::Instances};
  Confirmation DocumentConfirmation_;
  Confirmation ListConfirmation_;
  SectionFetcher DocumentFetcher_{SectionKind::Document};
  SectionFetcher ListFetcher_{SectionKind::Instances};
  /// The document read from the platform during startup. It is applied at the
  /// end of the startup, because a peer may have a newer one.
  std::optional<PendingDocument> PendingDocument_;
  std::set<framework::TargetName> WarmTargets_;
  /// Targets for which this instance has evidence of its own or a restart
  /// notice. Peers' reports that such a target is warm are ignored, because
  /// they may predate the restart.
  std::set<framework::TargetName> LocallyKnownTargets_;
  bool IsStarted_ = false;
  bool IsStopping_ = false;
  std::optional<framework::Instant> PeerQueryStartedAt_;
  /// Until when this instance reads the platform regardless of its position
  /// among the readers.
  framework::Instant ReadingUntil_{};
  framework::Instant FreshUntil_{};
  bool WasFresh_ = false;
  bool WasSuperseded_ = false;
  framework::Instant LastTickAt_{};
  framework::Instant NextRoundAt_{};
  /// The addresses of all peers, shuffled for the current rotation.
  std::vector<std::string> Rotation_;
  std::size_t NextInRotation_ = 0;
  std::size_t NextReader_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_FLEETSTATE_H
