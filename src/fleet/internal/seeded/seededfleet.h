#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SEEDEDFLEET_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SEEDEDFLEET_H

#include "document/types/publishedinstance.h"
#include "fleet/fleetsettings.h"
#include "fleet/internal/seeded/loadsharing.h"
#include "fleet/internal/seeded/members.h"
#include "fleet/internal/seeded/neighbours.h"
#include "fleet/internal/seeded/storefollower.h"
#include "fleet/internal/seeded/surroundings.h"
#include "fleet/output.h"
#include "framework/moment.h"
#include "framework/random.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The part of one instance in a fleet whose members find each other by seeds
/// and read documents and targets from the platform's store. Its shares of the
/// fleet-wide bounds follow from the most members that it has lately heard of.
class SeededFleet {
public:
  SeededFleet(FleetSettings Settings, framework::Random Rng);

  void start(framework::Moment Now, OutputList &Output);
  void tick(framework::Moment Now, OutputList &Output);
  framework::Instant nextWakeUp() const { return NextTickAt_; }

  void handle(const Greeting &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const LoadNotice &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const RecordNotice &Message, framework::Moment Now,
              OutputList &Output);
  void handle(const RecordPiece &Message, framework::Moment Now,
              OutputList &Output);
  void recordLoad(const framework::TargetName &Target,
                  const routing::LoadReport &Report, framework::Instant Now);
  void handleAllRecords(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, framework::Moment Now,
                        OutputList &Output);
  void handleChangedRecords(const std::vector<StoredRecord> &Records,
                            framework::Revision AsOf, framework::Moment Now,
                            OutputList &Output);
  /// The store has dropped the changes that a watch asked for.
  void handleHistoryLost(framework::Moment Now, OutputList &Output);
  void handleRecordsUnavailable(framework::Moment Now, OutputList &Output);

  void handleStopRequest(framework::Moment Now, OutputList &Output);
  void notePause(framework::Moment Now, OutputList &Output);
  void setSeeds(std::vector<std::string> Addresses);

  const StoreView &view() const { return Store_.view(); }
  bool isViewFresh(framework::Instant Now) const;
  std::vector<document::PublishedInstance> peers() const;
  std::size_t fleetSize() const;
  /// The instances that run as far as is known, this one included.
  std::size_t runningMembers() const { return Members_.count(); }

  /// Requests a second that this instance may send to a target while it is
  /// cold, given what all instances together may send.
  double coldRate(const framework::TargetName &Target, double FleetRate,
                  framework::Instant Now) const;
  bool mayProbe(const framework::TargetName &Target,
                framework::Instant Now) const;
  void recordProbe(const framework::TargetName &Target, framework::Instant Now);
  const FleetBounds &bounds() const { return Seeds_.Bounds_; }

private:
  /// What the shares of fleet-wide bounds follow from.
  struct ShareInputs {
    std::uint64_t MemberChanges_ = 0;
    bool IsSettled_ = false;

    bool operator==(const ShareInputs &) const = default;
  };

  /// False while an instance may not have heard of most others yet.
  bool isSettled(framework::Instant Now) const;
  /// Asks for new shares when what they follow from has changed, at most once
  /// a tick however many members are heard of.
  void tellShares(framework::Instant Now, OutputList &Output);
  Surroundings around(framework::Moment Now, OutputList &Output) const;
  void shareLoads(const Surroundings &Around);
  LoadNotice makeLoadNotice() const;
  std::vector<LoadNotice> takeLoads(LoadAudience For, framework::Instant Now);
  /// Keeps what came from outside the group of neighbours, or from inside the
  /// zone, for those who have not been told.
  void passOn(const LoadNotice &Message, const Surroundings &Around);
  bool isNear(const framework::TargetName &Target) const;
  void greetRound(framework::Instant Now, OutputList &Output);
  void greet(const std::string &Address, bool IsAnswerWanted,
             framework::Instant Now, OutputList &Output);
  void greetSeeds(framework::Instant Now, OutputList &Output);

  SeedSettings Seeds_;
  framework::Random Rng_;
  Members Members_;
  Neighbours Neighbours_;
  LoadSharing Loads_;
  StoreFollower Store_;
  bool IsStopping_ = false;
  ShareInputs ToldInputs_;
  framework::Instant StartedAt_{};
  /// When the group of neighbours changed last: what it knows of targets takes
  /// a while to arrive.
  framework::Instant GroupFormedAt_{};
  framework::Instant NextTickAt_{};
  framework::Instant NextRoundAt_{};
  framework::Instant NextSeedsAt_{};
  framework::Instant NextLoadNoticeAt_{};
  framework::Instant NextNoticeToZoneAt_{};
  framework::Instant NextNoticeAbroadAt_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_SEEDEDFLEET_H
