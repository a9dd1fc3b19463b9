#include "calls/requestquarantine.h"

#include <algorithm>
#include <tuple>

namespace cranberryspool::calls {

namespace {

using framework::Instant;

/// Reports of one crash by several instances differ by less than this; a target
/// needs longer to start again.
constexpr framework::Duration SameCrashWindow = std::chrono::seconds(1);

bool isSameCrash(const TargetCrash &Left, const TargetCrash &Right) {
  const auto Apart = Left.At_ - Right.At_;
  return Left.Target_ == Right.Target_ && Apart < SameCrashWindow &&
         Apart > -SameCrashWindow;
}

Instant lastEvent(const CrashRecord &Record) {
  const Instant LastCrash =
      Record.Crashes_.empty() ? Instant::min() : Record.Crashes_.back().At_;
  return std::max(LastCrash, Record.CompletedAt_.value_or(Instant::min()));
}

} // namespace

bool RequestQuarantine::merge(const CrashRecord &Known, Instant Now) {
  if (Known.Request_ == RequestFingerprint())
    return false;
  CrashRecord &Record = Records_[Known.Request_];
  Record.Request_ = Known.Request_;
  bool IsNew = false;
  if (Known.CompletedAt_ &&
      (!Record.CompletedAt_ ||
       *Known.CompletedAt_ > *Record.CompletedAt_ + SameCrashWindow)) {
    Record.CompletedAt_ = Known.CompletedAt_;
    const std::size_t Cleared =
        std::erase_if(Record.Crashes_, [&](const TargetCrash &Each) {
          return Each.At_ <= *Record.CompletedAt_;
        });
    IsNew = Cleared > 0;
  }
  for (const TargetCrash &Each : Known.Crashes_)
    IsNew |= addCrash(Record, Each);
  expire(Now);
  limitRecords();
  return IsNew;
}

bool RequestQuarantine::addCrash(CrashRecord &Record,
                                 const TargetCrash &Added) {
  if (Record.CompletedAt_ && Added.At_ <= *Record.CompletedAt_)
    return false;
  auto &Crashes = Record.Crashes_;
  if (std::any_of(Crashes.begin(), Crashes.end(), [&](const TargetCrash &Each) {
        return isSameCrash(Each, Added);
      }))
    return false;
  if (Crashes.size() == CrashLimit && Added.At_ <= Crashes.front().At_)
    return false;
  Crashes.push_back(Added);
  std::sort(Crashes.begin(), Crashes.end(),
            [](const TargetCrash &Left, const TargetCrash &Right) {
              return Left.At_ < Right.At_;
            });
  if (Crashes.size() > CrashLimit)
    Crashes.erase(Crashes.begin());
  return true;
}

bool RequestQuarantine::recordCompleted(const RequestFingerprint &Request,
                                        Instant Now) {
  const auto Found = Records_.find(Request);
  if (Found == Records_.end() || Found->second.Crashes_.empty())
    return false;
  Found->second.Crashes_.clear();
  Found->second.CompletedAt_ = Now;
  return true;
}

std::optional<framework::Duration>
RequestQuarantine::timeLeft(const RequestFingerprint &Request,
                            Instant Now) const {
  const auto Found = Records_.find(Request);
  if (Found == Records_.end() || Found->second.Crashes_.size() < CrashLimit)
    return std::nullopt;
  const Instant End = Found->second.Crashes_.back().At_ + Period;
  return Now < End ? std::optional(End - Now) : std::nullopt;
}

void RequestQuarantine::expire(Instant Now) {
  std::erase_if(Records_, [Now](const auto &Each) {
    return lastEvent(Each.second) + Retention < Now;
  });
}

void RequestQuarantine::limitRecords() {
  if (Records_.size() <= MaxRecords)
    return;
  // The record with the fewest crashes is removed, of several the oldest.
  const auto Removed = std::min_element(
      Records_.begin(), Records_.end(),
      [](const auto &Left, const auto &Right) {
        const auto Rank = [](const CrashRecord &Record) {
          return std::tuple(Record.Crashes_.size(), lastEvent(Record));
        };
        return Rank(Left.second) < Rank(Right.second);
      });
  Records_.erase(Removed);
}

std::size_t RequestQuarantine::quarantinedCount(Instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Records_.begin(), Records_.end(), [&](const auto &Each) {
        return timeLeft(Each.first, Now).has_value();
      }));
}

} // namespace cranberryspool::calls
