#include "fleet/internal/seeded/loadreportexchange.h"

#include <algorithm>
#include <utility>

namespace cranberryspool::fleet {

namespace {

/// Older reports are not worth sending. Those of a zone with many targets are
/// sent to other zones less often and pass several instances on their way.
constexpr framework::Duration MaxReportAge = std::chrono::milliseconds(1'500);
/// For this long after the last report of a request limit, reports that there
/// is none any more are sent to all instances.
constexpr framework::Duration LimitEndPeriod = std::chrono::seconds(3);

} // namespace

void LoadReportExchange::recordOwn(const framework::TargetName &Target,
                                   const routing::LoadReport &Report,
                                   framework::Instant Now) {
  // Reports in call answers lack the remaining warm-up time that probes return,
  // and those of probes may lack the request limit: values that are still
  // queued are kept.
  TimedReport &Latest = queue(LoadRecipients::OwnGroup)[Target];
  const auto Warmup =
      Report.WarmupLeft_ ? Report.WarmupLeft_ : Latest.Report_.WarmupLeft_;
  const auto Limit = Report.RequestLimit_ ? Report.RequestLimit_
                                          : Latest.Report_.RequestLimit_;
  Latest = TimedReport{Report, Now};
  Latest.Report_.WarmupLeft_ = Warmup;
  Latest.Report_.RequestLimit_ = Limit;
  if (Report.WarmupLeft_)
    HealthReportedAt_[Target] = Now;
}

void LoadReportExchange::recordForwarded(const TargetLoad &Load,
                                         framework::Instant Now) {
  if (!Load.Report_.WarmupLeft_)
    return;
  framework::Instant &Reported = HealthReportedAt_[Load.Target_];
  Reported = std::max(Reported, Now - Load.Age_);
}

void LoadReportExchange::enqueue(LoadRecipients Recipients,
                                 const TargetLoad &Load,
                                 framework::Instant Now) {
  TimedReport &Latest = queue(Recipients)[Load.Target_];
  if (Now - Load.Age_ < Latest.ReceivedAt_)
    return;
  const auto Limit = Latest.Report_.RequestLimit_;
  Latest = TimedReport{Load.Report_, Now - Load.Age_};
  if (!Latest.Report_.RequestLimit_)
    Latest.Report_.RequestLimit_ = Limit;
}

bool LoadReportExchange::recordLimit(const framework::TargetName &Target,
                                     const routing::LoadReport &Report,
                                     framework::Instant Now) {
  if (!Report.RequestLimit_)
    return false;
  if (!Report.RequestLimit_->isUnlimited()) {
    LimitedAt_[Target] = Now;
    return true;
  }
  const auto Limited = LimitedAt_.find(Target);
  if (Limited == LimitedAt_.end())
    return false;
  if (Now - Limited->second < LimitEndPeriod)
    return true;
  LimitedAt_.erase(Limited);
  return false;
}

std::vector<std::vector<TargetLoad>>
LoadReportExchange::takeQueued(LoadRecipients Recipients,
                               framework::Instant Now) {
  std::vector<std::vector<TargetLoad>> Batches;
  for (const auto &[Target, Latest] : std::exchange(queue(Recipients), {})) {
    // An instance that has just become a relay may have queued old reports.
    if (Now - Latest.ReceivedAt_ > MaxReportAge)
      continue;
    if (Batches.empty() || Batches.back().size() == MaxReportsPerUpdate)
      Batches.emplace_back();
    Batches.back().push_back(
        {Target, Latest.Report_, Now - Latest.ReceivedAt_});
  }
  return Batches;
}

framework::Duration
LoadReportExchange::healthAge(const framework::TargetName &Target,
                              framework::Instant Now) const {
  const auto Reported = HealthReportedAt_.find(Target);
  return Reported == HealthReportedAt_.end() ? framework::Duration::max()
                                             : Now - Reported->second;
}

framework::Duration
LoadReportExchange::probeAge(const framework::TargetName &Target,
                             framework::Instant Now) const {
  const auto Probe = ProbedAt_.find(Target);
  return Probe == ProbedAt_.end() ? framework::Duration::max()
                                  : Now - Probe->second;
}

} // namespace cranberryspool::fleet
