#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PENDINGSECTIONS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PENDINGSECTIONS_H

#include "entry/internal/mailboxes.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace cranberryspool::entry {

/// The requests of peers for sections that wait for the dispatch duty.
/// Thread-safe.
class PendingSections {
public:
  explicit PendingSections(Mailboxes &Rings) : Rings_(Rings) {}

  /// Asks the dispatch duty and blocks until it has answered; nothing when it
  /// does not in time.
  std::optional<fleet::SectionReply> ask(fleet::SectionRequest Wanted,
                                         framework::Duration Timeout);

  void answer(std::uint64_t Request, fleet::SectionReply Reply);

private:
  Mailboxes &Rings_;
  std::mutex Lock_;
  std::condition_variable Answered_;
  std::uint64_t LastRequest_ = 0;
  std::map<std::uint64_t, std::optional<fleet::SectionReply>> Waiting_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PENDINGSECTIONS_H
