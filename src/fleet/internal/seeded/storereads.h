#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREREADS_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREREADS_H

#include "fleet/internal/seeded/pendingread.h"
#include "fleet/internal/seeded/readtiming.h"
#include "fleet/types/readkind.h"
#include "framework/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cranberryspool::fleet {

/// The reads of the platform's metadata store that are under way, at most one
/// of each kind. A read that is late goes on while another one is made beside
/// it, and whichever is answered first counts.
class StoreReads {
public:
  explicit StoreReads(const ReadTiming &Timing) : Timing_(Timing) {}

  void start(ReadKind Kind, const PendingRead &Read) { Pending_[Kind] = Read; }
  /// Removes the read that has ended. Returns one that began at `Now` when none
  /// was under way.
  PendingRead end(ReadKind Kind, framework::Instant Now);
  /// Records an answer and how long it took, without the wait of a watch; that
  /// of a watch which returns changes is not known.
  void recordAnswer(ReadKind Kind, std::optional<framework::Duration> Time);
  void recordTimeout(ReadKind Kind) { ++Timeouts_[Kind]; }
  /// Returns true when a read without an answer took so long that the store may
  /// be away. A shorter one that ended at its time limit may have been late.
  static bool isLongest(framework::Duration Time);
  /// A large answer has begun to arrive.
  void markArriving(ReadKind Kind);

  bool isIdle() const { return Pending_.empty(); }
  bool isUnderWay(ReadKind Kind) const { return Pending_.contains(Kind); }
  bool isAnswerArriving() const;
  /// Returns true when every read under way has had no answer for so long that
  /// another one is to be made beside it.
  bool areLate(framework::Instant Now) const;
  /// Returns true while a watch is under way whose answer has not begun to
  /// arrive.
  bool isWatchOpen() const;
  /// Returns when the oldest read under way began.
  std::optional<framework::Instant> oldestStart() const;
  /// Returns the time limit of the next read, besides its wait. While nothing
  /// is loaded, no other read can be made beside it.
  framework::Duration timeLimit(ReadKind Kind, bool IsLoaded) const;

private:
  /// Returns the time after which a read without an answer is late.
  framework::Duration lateAnswerTime() const;

  ReadTiming Timing_;
  std::map<ReadKind, PendingRead> Pending_;
  /// How long the last answer of each kind took.
  std::map<ReadKind, framework::Duration> AnswerTimes_;
  /// The reads of each kind in a row that ended at their time limit.
  std::map<ReadKind, std::uint32_t> Timeouts_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_STOREREADS_H
