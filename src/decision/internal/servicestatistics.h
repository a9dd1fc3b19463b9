#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_SERVICESTATISTICS_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_SERVICESTATISTICS_H

#include "calls/latencyestimate.h"
#include "calls/retrybudget.h"
#include "calls/types/call.h"
#include "calls/types/kindid.h"
#include "calls/windowbudget.h"
#include "decision/internal/callsettings.h"
#include "framework/ids.h"
#include "scheduling/workestimate.h"

#include <chrono>
#include <map>
#include <optional>

namespace cranberryspool::decision {

/// Statistics of recent calls per service and per request kind, and the attempt
/// budgets derived from them.
class ServiceStatistics {
public:
  explicit ServiceStatistics(const CallSettings &Settings)
      : Settings_(Settings) {}

  /// Records that a call to the service was accepted.
  void recordCall(framework::ServiceId Service, framework::Instant Now) {
    if (Settings_.WindowLimit_)
      windowBudget(Service).recordCall(Now);
  }

  /// Records that a call was answered successfully.
  void recordSuccess(framework::ServiceId Service) {
    extraBudget(Service).recordSuccess();
    resendBudget(Service).recordSuccess();
  }

  /// Grants a retry or hedge of the call. Returns false if the budget is
  /// exhausted.
  bool tryGrantExtra(calls::Call &Call, framework::Instant Now) {
    return Settings_.WindowLimit_
               ? tryReserve(Call, Now)
               : extraBudget(Call.Request_.Service_).tryTake();
  }

  /// Grants a resend: an attempt after a target did not run the request.
  /// Returns false if the budget is exhausted.
  bool tryGrantResend(calls::Call &Call, framework::Instant Now) {
    return Settings_.WindowLimit_
               ? tryReserve(Call, Now)
               : resendBudget(Call.Request_.Service_).tryTake();
  }

  /// Charges a granted attempt to the window in which it is sent.
  void recordSent(calls::Call &Call, framework::Instant Now) {
    if (Call.ReservedExtras_ == 0)
      return;
    --Call.ReservedExtras_;
    windowBudget(Call.Request_.Service_).recordSent(Now);
  }

  /// Gives back the granted attempts of a call that ends before they are sent.
  void releaseGrants(calls::Call &Call) {
    for (; Call.ReservedExtras_ > 0; --Call.ReservedExtras_)
      windowBudget(Call.Request_.Service_).release();
  }

  /// Returns how much of its budget a service has used, or nothing where no
  /// window applies.
  std::optional<calls::BudgetUse> budgetUse(framework::ServiceId Service,
                                            framework::Instant Now) {
    if (!Settings_.WindowLimit_)
      return std::nullopt;
    return windowBudget(Service).use(Settings_.WindowLimit_->Slack_, Now);
  }

  /// Records the latency of an answer of a request kind.
  void recordLatency(calls::KindId Kind, framework::Duration Elapsed) {
    latency(Kind).record(Elapsed);
    Work_[Kind].record(Elapsed);
    framework::Duration &Mean =
        MeanLatencies_.try_emplace(Kind, Elapsed).first->second;
    Mean += std::chrono::duration_cast<framework::Duration>((Elapsed - Mean) *
                                                            MeanLatencyWeight);
  }

  /// Returns the mean latency of recent answers of a request kind, or nothing
  /// before the first.
  std::optional<framework::Duration> meanLatency(calls::KindId Kind) const {
    const auto Found = MeanLatencies_.find(Kind);
    if (Found == MeanLatencies_.end())
      return std::nullopt;
    return Found->second;
  }

  /// Returns the median latency of recent answers of a request kind; zero
  /// before the first. Unlike the mean it does not follow a few slow targets.
  framework::Duration expectedWork(calls::KindId Kind) const {
    const auto Found = Work_.find(Kind);
    return Found == Work_.end() ? framework::Duration::zero()
                                : Found->second.median();
  }

  /// Returns the latency estimate of recent answers of a request kind.
  calls::LatencyEstimate &latency(calls::KindId Kind) {
    return Latencies_.try_emplace(Kind, Settings_.HedgeQuantilePerThousand_)
        .first->second;
  }

private:
  static constexpr double MeanLatencyWeight = 0.05;

  calls::RetryBudget &extraBudget(framework::ServiceId Service) {
    return ExtraBudgets_
        .try_emplace(Service, Settings_.ExtraAttemptsPerThousand_,
                     Settings_.ExtraAttemptsCapacity_,
                     Settings_.ExtraAttemptsInitial_)
        .first->second;
  }

  calls::RetryBudget &resendBudget(framework::ServiceId Service) {
    return ResendBudgets_
        .try_emplace(Service, Settings_.ResendsPerThousand_,
                     Settings_.ResendsCapacity_, Settings_.ResendsInitial_)
        .first->second;
  }

  calls::WindowBudget &windowBudget(framework::ServiceId Service) {
    return WindowBudgets_.try_emplace(Service, Settings_.WindowLimit_->Length_)
        .first->second;
  }

  bool tryReserve(calls::Call &Call, framework::Instant Now) {
    if (!windowBudget(Call.Request_.Service_)
             .tryReserve(Settings_.WindowLimit_->Ratio_,
                         Settings_.WindowLimit_->Slack_, Now))
      return false;
    ++Call.ReservedExtras_;
    return true;
  }

  const CallSettings &Settings_;
  std::map<framework::ServiceId, calls::RetryBudget> ExtraBudgets_;
  std::map<framework::ServiceId, calls::RetryBudget> ResendBudgets_;
  std::map<framework::ServiceId, calls::WindowBudget> WindowBudgets_;
  std::map<calls::KindId, calls::LatencyEstimate> Latencies_;
  std::map<calls::KindId, framework::Duration> MeanLatencies_;
  std::map<calls::KindId, scheduling::WorkEstimate> Work_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_SERVICESTATISTICS_H
