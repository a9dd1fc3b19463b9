#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREFOLLOWER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREFOLLOWER_H

#include "fleet/internal/seeded/pieceassembly.h"
#include "fleet/internal/seeded/recordlog.h"
#include "fleet/internal/seeded/storeview.h"
#include "fleet/internal/seeded/surroundings.h"
#include "fleet/recorddecoder.h"
#include "fleet/types/recordnotice.h"
#include "fleet/types/recordpiece.h"
#include "fleet/types/storedrecord.h"
#include "framework/ids.h"
#include "framework/random.h"
#include "framework/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cranberryspool::fleet {

/// Keeps the view of the platform's store up to date. The store is watched by
/// one instance of an availability zone, which tells the tellers of the zone's
/// groups of neighbours, and these their groups. Who is not told in time asks
/// the store.
class StoreFollower {
public:
  StoreFollower(RecordDecoder Decode, framework::Duration LapseGrace,
                framework::Random Rng);

  const StoreView &view() const { return View_; }

  void start(framework::Instant Now) { StartedAt_ = Now; }
  void tick(const Surroundings &Around);

  void handleAllRecords(const std::vector<StoredRecord> &Records,
                        framework::Revision AsOf, const Surroundings &Around);
  void handleChangedRecords(const std::vector<StoredRecord> &Records,
                            framework::Revision AsOf,
                            const Surroundings &Around);
  /// The store has dropped the changes that a watch asked for.
  void handleHistoryLost(const Surroundings &Around);
  void noteUnavailable(const Surroundings &Around);

  void handle(const RecordNotice &Message, const Surroundings &Around);
  void handle(const RecordPiece &Message, const Surroundings &Around);

private:
  void read(const Surroundings &Around);
  /// True when this instance has to ask the store by itself.
  bool isOutOfDate(const Surroundings &Around) const;
  /// True when it may know by now who else runs in its zone.
  bool isSettled(framework::Instant Now) const;
  void noteGap(framework::Revision Told, framework::Instant Now);
  bool isBehind(framework::Instant Now) const;
  void tell(const StoreView::Changes &Changed, OutputList &Output) const;
  /// Takes that the store has answered as of now.
  void noteAnswered(const Surroundings &Around) {
    AnsweredWall_ = Around.Wall_;
  }
  /// Tells how the view stands, with the changes of the last moments.
  void share(const Surroundings &Around);
  /// Tells changes that have just been learnt, in as many messages as it takes.
  void shareNew(const Surroundings &Around);
  void send(const PeerMessage &Message, const Surroundings &Around) const;

  StoreView View_;
  RecordLog Log_;
  PieceAssembly Pieces_;
  framework::Random Rng_;
  /// Added to the patience of this instance, so that those that lack the same
  /// word do not all ask the store at once.
  framework::Duration ExtraPatience_;
  framework::Instant StartedAt_{};
  /// Others have told of a later revision than they could tell the way to.
  std::optional<framework::Revision> ToldOf_;
  framework::Instant GapSince_{};
  bool IsReading_ = false;
  bool IsListNeeded_ = true;
  /// The list under way may be as it was a while ago.
  bool IsListOld_ = false;
  std::uint32_t Failures_ = 0;
  framework::Instant NextReadAt_{};
  framework::Instant NextNoticeAt_{};
  /// When the instance that asked the store last got the answer that this view
  /// rests on.
  framework::WallTime AnsweredWall_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREFOLLOWER_H
