#include "fleet/internal/seeded/viewcheck.h"

#include <algorithm>

namespace cranberryspool::fleet {

using framework::Duration;
using framework::Instant;

void ViewCheck::requireRead(ViewEvidence Evidence, Instant Now) {
  const Duration IgnoredPeriod =
      Evidence == ViewEvidence::RevisionOfOther ? RevisionsIgnoredPeriod
      : Evidence == ViewEvidence::RecordOfOther ? RecordsIgnoredPeriod
                                                : Duration{};
  if (IsReadRequired_ || isSettling(Now) ||
      (WasConfirmed_ && Now < ConfirmedAt_ + IgnoredPeriod))
    return;
  IsReadRequired_ = true;
  RequiredAt_ = Now;
}

void ViewCheck::recordStart(Instant Now) { NextReadAt_ = Now + ReadInterval; }

void ViewCheck::recordAgreement(const PendingRead &Read, ReadKind Kind,
                                Instant Now) {
  const bool IsOfAllRecords = Kind == ReadKind::AllRecords;
  if (IsReadRequired_ && IsOfAllRecords && Read.StartedAt_ >= RequiredAt_) {
    IsReadRequired_ = false;
    WasConfirmed_ = true;
    ConfirmedAt_ = Now;
  }
  if (isInDoubt() && Read.StartedAt_ >= LastAt_ &&
      (IsOfAllRecords || !IsByRecord_))
    endDoubt();
}

void ViewCheck::endDoubt() {
  Contradictions_ = 0;
  IsByRecord_ = HasAllRecords_ = false;
}

bool ViewCheck::recordContradiction(const PendingRead &Read, ReadKind Kind,
                                    bool IsByRecord, Instant Now) {
  if (Read.StartedAt_ < ReplacedAt_)
    return false;
  if (isInDoubt() && Now >= LastAt_ + MaxDoubtTime)
    endDoubt();
  if (isInDoubt() && Read.StartedAt_ < LastAt_)
    return false;
  const bool IsOfAllRecords = Kind == ReadKind::AllRecords;
  const bool IsFirst = Contradictions_++ == 0;
  if (IsFirst)
    FirstAt_ = Now;
  LastAt_ = Now;
  IsByRecord_ = IsByRecord_ || IsByRecord;
  HasAllRecords_ = HasAllRecords_ || IsOfAllRecords;
  NextReadAt_ = IsFirst && !IsOfAllRecords ? Now : Now + ReadInterval;
  return Contradictions_ >= ConfirmingContradictions &&
         doubtTime(Now) >= MinConfirmationTime &&
         (IsOfAllRecords || (HasAllRecords_ && !IsByRecord_));
}

void ViewCheck::recordReplacement(Instant Now) {
  IsReadRequired_ = false;
  WasConfirmed_ = false;
  endDoubt();
  ReplacedAt_ = Now;
  const bool IsRepeated =
      SettledAt_ != Instant{} && Now < SettledAt_ + RepeatedSettlingTime;
  SettledAt_ = Now + (IsRepeated ? RepeatedSettlingTime : SettlingTime);
}

} // namespace cranberryspool::fleet
