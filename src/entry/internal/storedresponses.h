#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STOREDRESPONSES_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STOREDRESPONSES_H

#include "entry/types/targetresponse.h"
#include "framework/ids.h"

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace cranberryspool::entry {

/// The responses to calls with an idempotency key, which peers fetch to answer
/// repeats. Bounded in bytes: the oldest are evicted first. Thread-safe.
class StoredResponses {
public:
  explicit StoredResponses(std::size_t LimitBytes) : LimitBytes_(LimitBytes) {}

  /// Stores a copy of the response; one that exceeds the limit alone is not
  /// stored.
  void store(framework::CallId Call, const TargetResponse &Response);
  void drop(framework::CallId Call);
  /// Returns the response, or null when it is not or no longer stored.
  std::shared_ptr<const TargetResponse> find(framework::CallId Call) const;
  std::size_t usedBytes() const;

private:
  void erase(framework::CallId Call);

  const std::size_t LimitBytes_;
  mutable std::mutex Mutex_;
  std::size_t UsedBytes_ = 0;
  std::deque<framework::CallId> InsertionOrder_;
  std::unordered_map<framework::CallId, std::shared_ptr<const TargetResponse>>
      Responses_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STOREDRESPONSES_H
