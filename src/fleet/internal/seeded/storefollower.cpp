#include "fleet/internal/seeded/storefollower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using framework::Revision;
using std::chrono::milliseconds;

/// How long a watch of the store may wait: bounds the age of the view.
constexpr Duration WatchWait = milliseconds(1000);
constexpr Duration MinWatchWait = milliseconds(200);
/// After changes a reader waits before it watches again, the longer the larger
/// the fleet is, so that a busy store is not asked at each change.
constexpr Duration ReadPauseOfGroup = milliseconds(20);
constexpr Duration LongestReadPause = milliseconds(400);
constexpr Duration FirstReadRetry = milliseconds(100);
constexpr std::uint32_t MaxRetryDoublings = 2;
/// An instance that has just started waits so long for the word of others,
/// those of a group longer than the one that tells them.
constexpr Duration FirstWordPatience = milliseconds(300);
constexpr Duration FirstWordPatienceOfGroup = milliseconds(600);
/// The store is asked when the view is older than this: longer than a watch
/// waits and a notice takes, and well below the time in which changes must be
/// in force.
constexpr Duration TellerPatience = milliseconds(1300);
constexpr Duration GroupPatience = milliseconds(1500);
constexpr Duration MostExtraPatience = milliseconds(200);
/// Messages that were sent together may arrive in another order.
constexpr Duration GapPatience = milliseconds(100);
/// A teller tells its group at least so often.
constexpr Duration NoticeInterval = milliseconds(200);

std::vector<StoredRecord> newerThan(Revision Known,
                                    const std::vector<StoredRecord> &Records) {
  std::vector<StoredRecord> Newer;
  std::copy_if(
      Records.begin(), Records.end(), std::back_inserter(Newer),
      [&](const StoredRecord &Each) { return Each.Revision_ > Known; });
  return Newer;
}

} // namespace

StoreFollower::StoreFollower(RecordDecoder Decode, Duration LapseGrace,
                             framework::Random Rng)
    : View_(std::move(Decode), LapseGrace), Rng_(Rng),
      ExtraPatience_(static_cast<Duration::rep>(
          Rng_.index(static_cast<std::size_t>(MostExtraPatience.count())))) {}

void StoreFollower::tick(const Surroundings &Around) {
  tell(View_.advance(Around.Now_), Around.Output_);
  read(Around);
  if (Around.Now_ >= NextNoticeAt_ && Around.isTeller())
    share(Around);
}

bool StoreFollower::isSettled(Instant Now) const {
  return Now >= StartedAt_ + FirstWordPatience;
}

void StoreFollower::noteGap(Revision Told, Instant Now) {
  if (!ToldOf_)
    GapSince_ = Now;
  ToldOf_ = std::max(Told, ToldOf_.value_or(Told));
}

bool StoreFollower::isBehind(Instant Now) const {
  return ToldOf_ && *ToldOf_ > View_.revision() &&
         Now >= GapSince_ + GapPatience;
}

bool StoreFollower::isOutOfDate(const Surroundings &Around) const {
  if (isBehind(Around.Now_))
    return true;
  const bool IsTeller = Around.isTeller();
  const auto Age = View_.age(Around.Now_);
  if (!Age)
    return Around.Now_ >= StartedAt_ + (IsTeller ? FirstWordPatience
                                                 : FirstWordPatienceOfGroup);
  return *Age > (IsTeller ? TellerPatience : GroupPatience + ExtraPatience_);
}

void StoreFollower::read(const Surroundings &Around) {
  const Instant Now = Around.Now_;
  if (IsReading_ || Now < NextReadAt_)
    return;
  if (IsListNeeded_ || !View_.hasList()) {
    // Changes are asked for or told from there on.
    IsListOld_ = !View_.hasList() && Failures_ == 0;
    IsReading_ = true;
    Around.Output_.push_back(ReadRecords{std::nullopt, Duration{}, IsListOld_});
    return;
  }
  // After a failure an answer at once tells how things stand.
  const bool MayWait = Failures_ == 0 && View_.age(Now);
  const bool IsWatch = isSettled(Now) && MayWait && Around.isZoneReader();
  if (!IsWatch && !isOutOfDate(Around))
    return;
  IsReading_ = true;
  // The pause after changes counts: others wait no longer for word.
  const Duration Wait =
      IsWatch ? std::max(MinWatchWait, WatchWait - *View_.age(Now))
              : Duration{};
  Around.Output_.push_back(ReadRecords{View_.revision(), Wait});
}

void StoreFollower::handleAllRecords(const std::vector<StoredRecord> &Records,
                                     Revision AsOf,
                                     const Surroundings &Around) {
  IsReading_ = false;
  IsListNeeded_ = false;
  Failures_ = 0;
  Log_.clear();
  if (!IsListOld_)
    noteAnswered(Around);
  tell(IsListOld_ ? View_.takeOld(Records, AsOf, Around.Now_)
                  : View_.replaceAll(Records, AsOf, Around.Now_),
       Around.Output_);
  read(Around);
}

void StoreFollower::handleChangedRecords(
    const std::vector<StoredRecord> &Records, Revision AsOf,
    const Surroundings &Around) {
  const bool WasBehind = isBehind(Around.Now_);
  IsReading_ = false;
  Failures_ = 0;
  ToldOf_.reset();
  // Others may have told of some of it meanwhile.
  const Revision Before = View_.revision();
  const std::vector<StoredRecord> New = newerThan(Before, Records);
  noteAnswered(Around);
  Log_.note(Before, AsOf, New, Around.Now_);
  tell(View_.apply(New, AsOf, Around.Now_), Around.Output_);
  if (!Records.empty())
    NextReadAt_ =
        Around.Now_ +
        std::min(LongestReadPause,
                 ReadPauseOfGroup * static_cast<std::int64_t>(Around.groups()));
  // The view is as young as it gets. Those who only missed a message do not
  // tell what the others know.
  if (Around.isTeller() || !WasBehind) {
    shareNew(Around);
    share(Around);
  }
  read(Around);
}

void StoreFollower::handleHistoryLost(const Surroundings &Around) {
  IsReading_ = false;
  IsListNeeded_ = true;
  read(Around);
}

void StoreFollower::noteUnavailable(const Surroundings &Around) {
  IsReading_ = false;
  const Duration Pause =
      FirstReadRetry * (1U << std::min(Failures_, MaxRetryDoublings));
  // A watch that was cut is ordinary: the first retry follows at once.
  NextReadAt_ = Around.Now_;
  if (Failures_ > 0)
    NextReadAt_ += Pause / 2 + Duration(static_cast<Duration::rep>(Rng_.index(
                                   static_cast<std::size_t>(Pause.count()))));
  ++Failures_;
  read(Around);
}

void StoreFollower::tell(const StoreView::Changes &Changed,
                         OutputList &Output) const {
  for (const auto &[Key, Reason] : Changed.Rejected_)
    Output.push_back(RecordRejected{Key, Reason});
  if (Changed.IsDocumentNew_)
    Output.push_back(DocumentApplied{Revision(View_.configuration().Version_)});
  if (Changed.AreTargetsNew_)
    Output.push_back(TargetsChanged{});
}

void StoreFollower::share(const Surroundings &Around) {
  const auto Age = View_.age(Around.Now_);
  if (!Age)
    return;
  NextNoticeAt_ = Around.Now_ + NoticeInterval;
  RecordNotice Notice;
  Notice.From_ = Around.self().Name_;
  Notice.Incarnation_ = Around.self().Incarnation_;
  Notice.AsOf_ = View_.revision();
  Notice.Age_ = *Age;
  Notice.AnsweredAt_ = AnsweredWall_;
  Log_.fill(Notice, Around.Now_);
  send(Notice, Around);
}

void StoreFollower::shareNew(const Surroundings &Around) {
  const Duration Age = View_.age(Around.Now_).value_or(Duration{});
  for (RecordNotice &Part : Log_.takeNew()) {
    Part.From_ = Around.self().Name_;
    Part.Incarnation_ = Around.self().Incarnation_;
    Part.Age_ = Age;
    Part.AnsweredAt_ = AnsweredWall_;
    if (RecordLog::fitsInMessage(Part)) {
      send(Part, Around);
      continue;
    }
    for (RecordPiece &Piece : splitRecord(Part)) {
      Piece.From_ = Part.From_;
      Piece.Age_ = Age;
      Piece.AnsweredAt_ = AnsweredWall_;
      send(Piece, Around);
    }
  }
}

void StoreFollower::send(const PeerMessage &Message,
                         const Surroundings &Around) const {
  Around.sendToNeighbours(Message);
  if (Around.isZoneReader())
    Around.sendTo(Around.Neighbours_.delegates(), Message);
}

void StoreFollower::handle(const RecordPiece &Message,
                           const Surroundings &Around) {
  if (const auto Whole = Pieces_.take(Message))
    handle(*Whole, Around);
}

void StoreFollower::handle(const RecordNotice &Message,
                           const Surroundings &Around) {
  const Revision Before = View_.revision();
  if (!View_.hasList() || Message.AsOf_ < Before)
    return;
  if (Message.After_ > Before) {
    noteGap(Message.AsOf_, Around.Now_);
    return;
  }
  std::vector<StoredRecord> Records;
  for (const SharedRecord &Each : Message.Records_)
    if (Each.Revision_ > Before)
      Records.push_back({Each.Key_,
                         {Each.Value_.begin(), Each.Value_.end()},
                         Each.Revision_,
                         Each.IsDeleted_});
  Log_.note(Before, Message.AsOf_, Records, Around.Now_);
  // Clocks that differ may make a word look older, never younger.
  const Duration Age =
      std::max(Message.Age_, Around.Wall_ - Message.AnsweredAt_);
  tell(View_.apply(Records, Message.AsOf_, Around.Now_ - Age), Around.Output_);
  if (View_.age(Around.Now_) == Age)
    AnsweredWall_ = Message.AnsweredAt_;
  if (ToldOf_ && *ToldOf_ <= View_.revision())
    ToldOf_.reset();
  // What comes from outside the group is passed on by each that hears it, since
  // one of them may be slow.
  const bool IsFromOutside = !Around.Neighbours_.isNeighbour(Message.From_);
  if (IsFromOutside || Around.isTeller())
    shareNew(Around);
  else
    Log_.takeNew();
  if (IsFromOutside && Around.Now_ >= NextNoticeAt_)
    share(Around);
}

} // namespace cranberryspool::fleet
