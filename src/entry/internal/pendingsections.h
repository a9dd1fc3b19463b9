#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PENDINGSECTIONS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PENDINGSECTIONS_H

#include "entry/internal/workermailboxes.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace cranberryspool::entry {

/// The requests of peers for sections that the dispatch worker has not
/// answered. Thread-safe.
class PendingSections {
public:
  explicit PendingSections(WorkerMailboxes &Mailboxes)
      : Mailboxes_(Mailboxes) {}

  /// Passes a request to the dispatch worker and blocks until it is answered.
  /// Returns nothing when that takes longer than the timeout.
  std::optional<fleet::SectionReply> request(fleet::SectionRequest Request,
                                             framework::Duration Timeout);

  /// Sets the reply to a request and wakes the thread that waits for it.
  void complete(std::uint64_t RequestId, fleet::SectionReply Reply);

private:
  WorkerMailboxes &Mailboxes_;
  std::mutex Mutex_;
  std::condition_variable Answered_;
  std::uint64_t LastRequestId_ = 0;
  std::map<std::uint64_t, std::optional<fleet::SectionReply>> Waiting_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PENDINGSECTIONS_H
