#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_SERVICELEARNING_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_SERVICELEARNING_H

#include "calls/latencyestimate.h"
#include "calls/retrybudget.h"
#include "calls/types/kindid.h"
#include "calls/windowbudget.h"
#include "decision/internal/callsettings.h"
#include "framework/ids.h"

#include <map>

namespace cranberryspool::decision {

/// What recent calls taught about each service and each kind of request, and
/// the budgets that follow from them.
class ServiceLearning {
public:
  explicit ServiceLearning(const CallSettings &Settings)
      : Settings_(Settings) {}

  /// Notes that a call to the service was accepted.
  void noteCall(framework::ServiceId Service, framework::Instant Now) {
    if (Settings_.Window_)
      window(Service).recordCall(Now);
  }

  /// Notes that a call was answered well.
  void noteSuccess(framework::ServiceId Service) {
    extra(Service).recordSuccess();
    resends(Service).recordSuccess();
  }

  /// Takes leave for a retry or a hedge.
  bool tryExtra(framework::ServiceId Service, framework::Instant Now) {
    return Settings_.Window_ ? tryWindow(Service, Now)
                             : extra(Service).tryTake();
  }

  /// Takes leave for an attempt after a target did not run the request.
  bool tryResend(framework::ServiceId Service, framework::Instant Now) {
    return Settings_.Window_ ? tryWindow(Service, Now)
                             : resends(Service).tryTake();
  }

  /// The times of recent answers of a kind.
  calls::LatencyEstimate &latency(calls::KindId Kind) {
    return Latency_.try_emplace(Kind, Settings_.HedgeQuantilePerThousand_)
        .first->second;
  }

private:
  calls::RetryBudget &extra(framework::ServiceId Service) {
    return Extra_
        .try_emplace(Service, Settings_.ExtraPerThousand_,
                     Settings_.ExtraCapacity_, Settings_.ExtraInitial_)
        .first->second;
  }

  calls::RetryBudget &resends(framework::ServiceId Service) {
    return Resends_
        .try_emplace(Service, Settings_.ResendsPerThousand_,
                     Settings_.ResendsCapacity_, Settings_.ResendsInitial_)
        .first->second;
  }

  calls::WindowBudget &window(framework::ServiceId Service) {
    return Windows_.try_emplace(Service, Settings_.Window_->Length_)
        .first->second;
  }

  bool tryWindow(framework::ServiceId Service, framework::Instant Now) {
    return window(Service).tryTake(Settings_.Window_->Ratio_,
                                   Settings_.Window_->Slack_, Now);
  }

  const CallSettings &Settings_;
  std::map<framework::ServiceId, calls::RetryBudget> Extra_;
  std::map<framework::ServiceId, calls::RetryBudget> Resends_;
  std::map<framework::ServiceId, calls::WindowBudget> Windows_;
  std::map<calls::KindId, calls::LatencyEstimate> Latency_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_SERVICELEARNING_H
