#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERS_H

#include "entry/types/targetanswer.h"
#include "framework/ids.h"

#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace cranberryspool::entry {

/// The answers of keyed calls that peers may fetch for repeats. Bounded: the
/// oldest make room for new ones. Thread-safe.
class KeptAnswers {
public:
  explicit KeptAnswers(std::size_t LimitBytes) : LimitBytes_(LimitBytes) {}

  /// Keeps a copy of the answer.
  void keep(framework::CallId Call, const TargetAnswer &Answer);
  void drop(framework::CallId Call);
  /// Returns the answer, or null when it is not kept any more.
  std::shared_ptr<const TargetAnswer> find(framework::CallId Call) const;
  std::size_t usedBytes() const;

private:
  void erase(framework::CallId Call);

  const std::size_t LimitBytes_;
  mutable std::mutex Lock_;
  std::size_t UsedBytes_ = 0;
  std::deque<framework::CallId> Order_;
  std::unordered_map<framework::CallId, std::shared_ptr<const TargetAnswer>>
      Answers_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERS_H
