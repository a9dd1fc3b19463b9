#include "decision/internal/crashguard.h"

#include "calls/fingerprinttext.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cranberryspool::decision {

namespace {

/// The interval at which quarantined requests and recent crashes are repeated
/// to a few instances.
constexpr framework::Duration RepeatInterval = std::chrono::milliseconds(500);
/// A crash that quarantines no request is repeated for this long.
constexpr framework::Duration SuspectRepeatPeriod = std::chrono::seconds(10);

} // namespace

void CrashGuard::recordLost(const EventContext &Context,
                            const calls::Attempt &Lost) {
  // The end of a target that was about to leave is expected.
  if (Core_.Environment_.acceptsWork(Lost.Target_))
    Detector_.recordLost(Lost.Target_, Lost.Fingerprint_, Context.now());
}

void CrashGuard::recordClosed(const EventContext &Context,
                              framework::TargetId Target) {
  Detector_.recordClosed(Target, Context.now());
}

void CrashGuard::recordOpened(framework::TargetId Target) {
  Detector_.recordReachable(Target);
}

void CrashGuard::recordRefused(const EventContext &Context,
                               framework::TargetId Target) {
  if (Core_.Environment_.isPeer(Target))
    return;
  const auto Requests =
      Detector_.recordRefused(Target, countConnectedTargets(), Context.now());
  if (Requests.empty())
    return;
  ++Core_.Counters_.TargetCrashes_;
  const framework::TargetName Name = Core_.Environment_.targetName(Target);
  report(Context, ChangeKind::TargetCrashed, Name.value());
  std::vector<fleet::CrashNotice> News;
  for (const calls::RequestFingerprint &Request : Requests) {
    const bool WasQuarantined = isQuarantined(Context, Request);
    const calls::CrashRecord Record{Request,
                                    {calls::TargetCrash{Name, Context.now()}}};
    if (!Core_.Quarantine_.merge(Record, Context.now()))
      continue;
    report(Context, ChangeKind::RequestSuspected,
           calls::toText(Request) + ": " + Name.value());
    reportQuarantine(Context, Request, WasQuarantined);
    News.push_back(fleet::makeCrashNotice(Record, Context.now()));
  }
  Core_.Fleet_.sendCrashNotices(std::move(News),
                                fleet::CrashNoticeRecipients::All, Context.Now_,
                                Core_.FleetOutput_);
}

std::size_t CrashGuard::countConnectedTargets() const {
  const auto &Targets = Core_.Environment_.targets();
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(),
                    [this](const routing::TargetDescription &Each) {
                      return Core_.Connections_.openCount(Each.Target_) > 0;
                    }));
}

void CrashGuard::recordCompleted(const EventContext &Context,
                                 const calls::Attempt &Completed) {
  if (!Core_.Quarantine_.recordCompleted(Completed.Fingerprint_, Context.now()))
    return;
  report(Context, ChangeKind::RequestCleared,
         calls::toText(Completed.Fingerprint_));
  const auto Record =
      Core_.Quarantine_.records().find(Completed.Fingerprint_)->second;
  Core_.Fleet_.sendCrashNotices({fleet::makeCrashNotice(Record, Context.now())},
                                fleet::CrashNoticeRecipients::All, Context.Now_,
                                Core_.FleetOutput_);
}

void CrashGuard::merge(const EventContext &Context,
                       const fleet::CrashNoticesReceived &Received) {
  std::vector<fleet::CrashNotice> News;
  for (const fleet::CrashNotice &Notice : Received.Notices_) {
    const bool WasQuarantined = isQuarantined(Context, Notice.Request_);
    if (!Core_.Quarantine_.merge(fleet::makeCrashRecord(Notice, Context.now()),
                                 Context.now()))
      continue;
    reportQuarantine(Context, Notice.Request_, WasQuarantined);
    News.push_back(Notice);
  }
  if (!News.empty())
    Core_.Fleet_.forwardCrashNotices(std::move(News), Received.From_,
                                     Context.Now_, Core_.FleetOutput_);
}

void CrashGuard::runDue(const EventContext &Context) {
  for (const framework::TargetId Target :
       Detector_.takeDueChecks(Context.now()))
    checkTarget(Context, Target);
  if (!NewlyQuarantined_.empty())
    failQuarantinedCalls(Context);
  if (Context.now() >= NextRepeatAt_)
    repeatNotices(Context);
}

void CrashGuard::checkTarget(const EventContext &Context,
                             framework::TargetId Target) {
  // A target that crashes loses all its connections at once.
  if (Core_.Connections_.openCount(Target) > 0)
    Detector_.recordReachable(Target);
  else if (!Core_.Connections_.isOpening(Target))
    ConnectionManager_.openNew(Context, Target);
}

bool CrashGuard::isQuarantined(const EventContext &Context,
                               const calls::RequestFingerprint &Request) const {
  return Core_.Quarantine_.timeLeft(Request, Context.now()).has_value();
}

void CrashGuard::reportQuarantine(const EventContext &Context,
                                  const calls::RequestFingerprint &Request,
                                  bool WasQuarantined) {
  const bool IsNowQuarantined = isQuarantined(Context, Request);
  if (IsNowQuarantined == WasQuarantined)
    return;
  report(Context,
         IsNowQuarantined ? ChangeKind::RequestQuarantined
                          : ChangeKind::RequestCleared,
         calls::toText(Request));
  if (IsNowQuarantined)
    NewlyQuarantined_.push_back(Request);
}

void CrashGuard::report(const EventContext &Context, ChangeKind Kind,
                        std::string Subject) const {
  Context.Output_.push_back(ReportChange{Kind, std::move(Subject)});
}

void CrashGuard::failQuarantinedCalls(const EventContext &Context) {
  const auto Requests = std::exchange(NewlyQuarantined_, {});
  std::vector<framework::CallId> Affected;
  for (const auto &[Id, Call] : Core_.Calls_.calls())
    if (std::find(Requests.begin(), Requests.end(),
                  Call.Request_.Fingerprint_) != Requests.end())
      Affected.push_back(Id);
  for (const framework::CallId Id : Affected)
    if (calls::Call *Call = Core_.Calls_.find(Id))
      Finisher_.fail(Context, *Call, calls::EndingReason::RequestQuarantined);
}

void CrashGuard::selectNotices(std::vector<fleet::CrashNotice> &Notices) {
  // Requests with most crashes come first; those with equally many take turns.
  for (std::size_t Left = Notices.size(); Left > 1; --Left)
    std::swap(Notices[Left - 1], Notices[Core_.Rng_.index(Left)]);
  std::stable_sort(Notices.begin(), Notices.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Crashes_.size() > Right.Crashes_.size();
                   });
  Notices.resize(fleet::CrashUpdate::MaxNotices);
}

void CrashGuard::repeatNotices(const EventContext &Context) {
  NextRepeatAt_ = Context.now() + RepeatInterval;
  Core_.Quarantine_.expire(Context.now());
  std::vector<fleet::CrashNotice> Notices;
  for (const auto &[Request, Record] : Core_.Quarantine_.records()) {
    const bool IsRecent =
        !Record.Crashes_.empty() &&
        Context.now() - Record.Crashes_.back().At_ < SuspectRepeatPeriod;
    if (IsRecent || isQuarantined(Context, Request))
      Notices.push_back(fleet::makeCrashNotice(Record, Context.now()));
  }
  if (Notices.size() > fleet::CrashUpdate::MaxNotices)
    selectNotices(Notices);
  if (!Notices.empty())
    Core_.Fleet_.sendCrashNotices(std::move(Notices),
                                  fleet::CrashNoticeRecipients::RandomFew,
                                  Context.Now_, Core_.FleetOutput_);
}

} // namespace cranberryspool::decision
