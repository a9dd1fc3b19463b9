#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_SERVICEMODEL_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_SERVICEMODEL_H

#include "framework/time.h"
#include "routing/experiment/requestmodel.h"

#include <cstdint>
#include <string>

namespace cranberryspool::experiment {

/// A service of a simulation. The work of a request is a constant part of the
/// mean (`WorkloadSettings::ConstantShareOfWork_`) plus an exponentially
/// distributed rest.
struct ServiceModel {
  std::string Name_;
  std::uint32_t Targets_ = 1;
  std::uint32_t SlotsPerTarget_ = 1;
  framework::Duration MeanWork_{};
  double UrgentShare_ = 0;
  framework::Duration Deadline_ = std::chrono::seconds(2);
  /// The requests of each urgency, which match the services of the example
  /// documents.
  RequestModel Urgent_;
  RequestModel Ordinary_;
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_SERVICEMODEL_H
