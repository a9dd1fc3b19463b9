#ifndef CRANBERRYSPOOL_DECISION_CORECOUNTERS_H
#define CRANBERRYSPOOL_DECISION_CORECOUNTERS_H

#include <cstdint>

namespace cranberryspool::decision {

/// The counters of a core since its start.
struct CoreCounters {
  std::uint64_t CallsAccepted_ = 0;
  std::uint64_t CallsAnswered_ = 0;
  std::uint64_t CallsReplayed_ = 0;
  std::uint64_t CallsNotRun_ = 0;
  std::uint64_t CallsUnknown_ = 0;
  std::uint64_t CallsDeadlinePassed_ = 0;
  std::uint64_t CallersGone_ = 0;

  std::uint64_t AttemptsSent_ = 0;
  /// Of these, attempts at targets whose records were missing from the store.
  std::uint64_t AttemptsToUnconfirmed_ = 0;
  /// Attempts sent after an earlier attempt of the call had failed.
  std::uint64_t RetriesSent_ = 0;
  /// Attempts sent while an earlier attempt of the call was in flight.
  std::uint64_t HedgesSent_ = 0;
  std::uint64_t HedgesWon_ = 0;
  std::uint64_t RetriesOverBudget_ = 0;
  std::uint64_t AttemptsCancelled_ = 0;
  std::uint64_t AttemptsAbandoned_ = 0;
  std::uint64_t AnswersLate_ = 0;
  std::uint64_t AnswersMismatched_ = 0;

  std::uint64_t ConnectionsOpened_ = 0;
  std::uint64_t ConnectionsFailed_ = 0;
  /// Of the failed ones, those refused since nothing listened at the address.
  std::uint64_t ConnectionsRefused_ = 0;
  std::uint64_t ConnectionsSilent_ = 0;

  /// Targets found to have crashed while they had requests of this instance.
  std::uint64_t TargetCrashes_ = 0;
  std::uint64_t CallsQuarantined_ = 0;
  std::uint64_t PeerMessagesRejected_ = 0;
  /// Calls refused beyond the quota of their workspace.
  std::uint64_t CallsOverQuota_ = 0;
  /// Requests for quota credits that no instance answered in time, and quota
  /// messages that could not be used.
  std::uint64_t QuotaRequestsUnanswered_ = 0;
  std::uint64_t QuotaMessagesRejected_ = 0;
  /// The slots that are this instance's shares of contended services now; zero
  /// while all services are limited adaptively. A gauge, not a counter.
  std::uint64_t SlotsInShares_ = 0;
  std::uint64_t SlotShareChanges_ = 0;

  /// Calls forwarded to other instances, counted for each that was tried.
  std::uint64_t CallsForwarded_ = 0;
  std::uint64_t CallsFromPeers_ = 0;
  std::uint64_t CallsFromPeersRefused_ = 0;

  /// Times at which changed targets or shares were put in force.
  std::uint64_t TargetUpdates_ = 0;

  std::uint64_t ProbesSent_ = 0;
  std::uint64_t ProbesFailed_ = 0;

  std::uint64_t Pauses_ = 0;
  /// Times at which this instance was behind others, and at which the
  /// platform's store stopped answering it.
  std::uint64_t ViewGaps_ = 0;
  std::uint64_t StoreOutages_ = 0;
  std::uint64_t DocumentsRejected_ = 0;
  std::uint64_t DocumentsOlderIgnored_ = 0;

  friend bool operator==(const CoreCounters &, const CoreCounters &) = default;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORECOUNTERS_H
