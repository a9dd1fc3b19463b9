#include "entry/internal/storedresponses.h"

namespace cranberryspool::entry {

using framework::CallId;

namespace {

/// The estimated memory of an entry besides the bytes of its response:
/// container nodes, allocations and the insertion order.
constexpr std::size_t EntryOverheadBytes = 512;

std::size_t sizeOf(const TargetResponse &Response) {
  std::size_t Bytes = EntryOverheadBytes + Response.Body_.size();
  for (const HeaderField &Field : Response.Fields_)
    Bytes += sizeof(HeaderField) + Field.Name_.size() + Field.Value_.size();
  return Bytes;
}

} // namespace

void StoredResponses::store(CallId Call, const TargetResponse &Response) {
  auto Copy = std::make_shared<TargetResponse>();
  Copy->Status_ = Response.Status_;
  Copy->Fields_ = Response.Fields_;
  Copy->Body_ = Response.Body_;
  const std::size_t Bytes = sizeOf(*Copy);
  const std::lock_guard Lock(Mutex_);
  erase(Call);
  if (Bytes > LimitBytes_)
    return;
  UsedBytes_ += Bytes;
  InsertionOrder_.push_back(Call);
  Responses_[Call] = std::move(Copy);
  while (UsedBytes_ > LimitBytes_) {
    const CallId OldestCall = InsertionOrder_.front();
    InsertionOrder_.pop_front();
    erase(OldestCall);
  }
}

void StoredResponses::drop(CallId Call) {
  const std::lock_guard Lock(Mutex_);
  erase(Call);
  while (!InsertionOrder_.empty() &&
         !Responses_.contains(InsertionOrder_.front()))
    InsertionOrder_.pop_front();
}

std::shared_ptr<const TargetResponse> StoredResponses::find(CallId Call) const {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Responses_.find(Call);
  return Found == Responses_.end() ? nullptr : Found->second;
}

std::size_t StoredResponses::usedBytes() const {
  const std::lock_guard Lock(Mutex_);
  return UsedBytes_;
}

void StoredResponses::erase(CallId Call) {
  const auto Found = Responses_.find(Call);
  if (Found == Responses_.end())
    return;
  UsedBytes_ -= sizeOf(*Found->second);
  Responses_.erase(Found);
}

} // namespace cranberryspool::entry
