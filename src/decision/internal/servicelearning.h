#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_SERVICELEARNING_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_SERVICELEARNING_H

#include "calls/latencyestimate.h"
#include "calls/retrybudget.h"
#include "calls/types/kindid.h"
#include "decision/internal/callsettings.h"
#include "framework/ids.h"

#include <map>

namespace cranberryspool::decision {

/// What recent calls taught about each service and each kind of request.
class ServiceLearning {
public:
  explicit ServiceLearning(const CallSettings &Settings)
      : Settings_(Settings) {}

  /// The budget of retries and hedges of a service.
  calls::RetryBudget &extra(framework::ServiceId Service) {
    return Extra_
        .try_emplace(Service, Settings_.ExtraPerThousand_,
                     Settings_.ExtraCapacity_, Settings_.ExtraInitial_)
        .first->second;
  }

  /// The budget of attempts after a target did not run the request.
  calls::RetryBudget &resends(framework::ServiceId Service) {
    return Resends_
        .try_emplace(Service, Settings_.ResendsPerThousand_,
                     Settings_.ResendsCapacity_, Settings_.ResendsInitial_)
        .first->second;
  }

  /// The times of recent answers of a kind.
  calls::LatencyEstimate &latency(calls::KindId Kind) {
    return Latency_.try_emplace(Kind, Settings_.HedgeQuantilePerThousand_)
        .first->second;
  }

private:
  const CallSettings &Settings_;
  std::map<framework::ServiceId, calls::RetryBudget> Extra_;
  std::map<framework::ServiceId, calls::RetryBudget> Resends_;
  std::map<calls::KindId, calls::LatencyEstimate> Latency_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_SERVICELEARNING_H
