#include "fleet/types/crashnotice.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

/// Clocks that are read in turn may make an event seem to lie in the future.
framework::Duration ageOf(framework::Instant Event, framework::Instant Now) {
  return std::max(Now - Event, framework::Duration::zero());
}

} // namespace

CrashNotice makeCrashNotice(const calls::CrashRecord &Record,
                            framework::Instant Now) {
  CrashNotice Notice;
  Notice.Request_ = Record.Request_;
  for (const calls::TargetCrash &Each : Record.Crashes_)
    Notice.Crashes_.push_back({Each.Target_, ageOf(Each.At_, Now)});
  if (Record.CompletedAt_)
    Notice.CompletedAge_ = ageOf(*Record.CompletedAt_, Now);
  return Notice;
}

calls::CrashRecord makeCrashRecord(const CrashNotice &Notice,
                                   framework::Instant Now) {
  calls::CrashRecord Record;
  Record.Request_ = Notice.Request_;
  for (const CrashedTarget &Each : Notice.Crashes_)
    Record.Crashes_.push_back({Each.Target_, Now - Each.Age_});
  if (Notice.CompletedAge_)
    Record.CompletedAt_ = Now - *Notice.CompletedAge_;
  return Record;
}

} // namespace cranberryspool::fleet
