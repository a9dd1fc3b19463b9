#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_FLEETSTATE_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_FLEETSTATE_H

#include "fleet/fleetsettings.h"
#include "fleet/internal/coldnotices.h"
#include "fleet/internal/confirmation.h"
#include "fleet/internal/documentstore.h"
#include "fleet/internal/instancestore.h"
#include "fleet/internal/keyhome.h"
#include "fleet/internal/keyrunner.h"
#include "fleet/internal/peertable.h"
#include "fleet/internal/platformreader.h"
#include "fleet/internal/readerorder.h"
#include "fleet/internal/spread.h"
#include "fleet/internal/targetshares.h"
#include "fleet/output.h"
#include "framework/moment.h"
#include "framework/random.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// What `Fleet` is made of: the parts, and what flows between them.
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

  void requestKey(framework::CallId Call, const framework::IdempotencyKey &Key,
                  framework::Moment Now, OutputList &Output);
  void handleKeyedCallEnd(framework::CallId Call, calls::Ending Ending,
                          bool IsAnswerKept, framework::Moment Now,
                          OutputList &Output);
  bool isHandoverDone() const { return KeyHome_.isHandoverDone(); }

  void handlePause(framework::Moment Now, OutputList &Output);
  void handleTargetRestart(const ColdNotice &Notice, framework::Moment Now,
                           OutputList &Output);
  void setWarm(const framework::TargetName &Target, bool IsWarm);
  void handleStopRequest() { IsStopping_ = true; }

  bool isViewFresh(framework::Instant Now) const;
  const DocumentStore &documents() const { return Documents_; }
  const InstanceStore &instances() const { return Instances_; }
  const PeerTable &peers() const { return Peers_; }
  TargetShares &shares() { return Shares_; }
  const TargetShares &shares() const { return Shares_; }

private:
  struct HeldDocument {
    framework::Revision Revision_;
    std::string Text_;
    framework::Instant AskedAt_;
  };

  PeerView view(framework::Instant Now) const;
  bool isKeyHome(const framework::IdempotencyKey &Key) const;
  bool isStarting() const { return !IsStarted_; }
  void tryFinishStart(framework::Instant Now, OutputList &Output);
  bool haveAllPeersAnswered() const;

  bool isReading(const Confirmation &Confirmed, framework::Instant ActingUntil,
                 framework::Instant Now) const;
  void readPlatform(framework::Instant Now, OutputList &Output);
  /// Takes a newer value that came too late to confirm anything.
  void takeUnaskedDocument(framework::Revision Revision,
                           const std::string &Text, framework::Moment Now,
                           OutputList &Output);
  void applyDocument(OfferResult Result, framework::Revision Revision,
                     framework::Instant Now, OutputList &Output);
  void applyInstances(OfferResult Result, framework::Revision Revision,
                      framework::Instant Now, OutputList &Output);
  void followPeer(const std::string &PeerAddress, const PeerView &View,
                  framework::Instant Now, OutputList &Output);
  void takeNotices(const std::vector<ColdNotice> &Notices,
                   framework::Instant Now, OutputList &Output);

  std::optional<WarmTargets> warmTargets() const;
  void takeWarmTargets(const WarmTargets &Warm, OutputList &Output);

  void sendHeartbeat(const std::string &PeerAddress, framework::Instant Now,
                     OutputList &Output);
  void sendRound(framework::Instant Now, OutputList &Output);
  void pushNews(framework::Instant Now, OutputList &Output);
  std::size_t roundSize(framework::Instant Now) const;
  bool isUrgent(framework::Instant Now) const;
  const std::string *nextPeer();
  const std::string *nextReader();
  void refresh(framework::Moment Moment, OutputList &Output);

  FleetSettings Settings_;
  framework::Random Rng_;
  DocumentStore Documents_;
  InstanceStore Instances_;
  PeerTable Peers_;
  ReaderOrder Readers_;
  TargetShares Shares_;
  KeyHome KeyHome_;
  KeyRunner KeyRunner_;
  ColdNotices Cold_;
  PlatformReader DocumentReader_{SectionKind::Document};
  PlatformReader ListReader_{SectionKind::Instances};
  Confirmation DocumentConfirmed_;
  Confirmation ListConfirmed_;
  Spread DocumentSpread_{SectionKind::Document};
  Spread ListSpread_{SectionKind::Instances};
  std::optional<HeldDocument> Held_;
  std::set<framework::TargetName> Warm_;
  /// Targets on which this instance has evidence of its own, or a notice of a
  /// new start: a peer that says "warm" may know less.
  std::set<framework::TargetName> Judged_;
  bool IsStarted_ = false;
  bool IsStopping_ = false;
  std::optional<framework::Instant> AskingPeersSince_;
  framework::Instant ActingUntil_{};
  framework::Instant FreshUntil_{};
  bool WasFresh_ = false;
  bool WasSuperseded_ = false;
  framework::Instant LastTickAt_{};
  framework::Instant NextRoundAt_{};
  std::vector<std::string> Rotation_;
  std::size_t NextInRotation_ = 0;
  std::size_t NextReader_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_FLEETSTATE_H
