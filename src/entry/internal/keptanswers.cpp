#include "entry/internal/keptanswers.h"

namespace cranberryspool::entry {

using framework::CallId;

namespace {

/// What an answer costs besides its bytes: nodes, allocations, order.
constexpr std::size_t Overhead = 512;

std::size_t sizeOf(const TargetAnswer &Answer) {
  std::size_t Bytes = Overhead + Answer.Body_.size();
  for (const HeaderField &Field : Answer.Fields_)
    Bytes += sizeof(HeaderField) + Field.Name_.size() + Field.Value_.size();
  return Bytes;
}

} // namespace

void KeptAnswers::keep(CallId Call, const TargetAnswer &Answer) {
  auto Copy = std::make_shared<TargetAnswer>();
  Copy->Status_ = Answer.Status_;
  Copy->Fields_ = Answer.Fields_;
  Copy->Body_ = Answer.Body_;
  const std::size_t Bytes = sizeOf(*Copy);
  const std::lock_guard Guard(Lock_);
  erase(Call);
  if (Bytes > LimitBytes_)
    return;
  UsedBytes_ += Bytes;
  Order_.push_back(Call);
  Answers_[Call] = std::move(Copy);
  while (UsedBytes_ > LimitBytes_) {
    const CallId Oldest = Order_.front();
    Order_.pop_front();
    erase(Oldest);
  }
}

void KeptAnswers::drop(CallId Call) {
  const std::lock_guard Guard(Lock_);
  erase(Call);
  while (!Order_.empty() && !Answers_.contains(Order_.front()))
    Order_.pop_front();
}

std::shared_ptr<const TargetAnswer> KeptAnswers::find(CallId Call) const {
  const std::lock_guard Guard(Lock_);
  const auto Position = Answers_.find(Call);
  return Position == Answers_.end() ? nullptr : Position->second;
}

std::size_t KeptAnswers::usedBytes() const {
  const std::lock_guard Guard(Lock_);
  return UsedBytes_;
}

void KeptAnswers::erase(CallId Call) {
  const auto Position = Answers_.find(Call);
  if (Position == Answers_.end())
    return;
  UsedBytes_ -= sizeOf(*Position->second);
  Answers_.erase(Position);
}

} // namespace cranberryspool::entry
