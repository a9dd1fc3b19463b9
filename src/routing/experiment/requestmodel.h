#ifndef CRANBERRYSPOOL_ROUTING_EXPERIMENT_REQUESTMODEL_H
#define CRANBERRYSPOOL_ROUTING_EXPERIMENT_REQUESTMODEL_H

#include <string>

namespace cranberryspool::experiment {

/// A request that callers send in a simulation with complete decision cores.
struct RequestModel {
  std::string Method_ = "GET";
  std::string Path_ = "/";
};

} // namespace cranberryspool::experiment

#endif // CRANBERRYSPOOL_ROUTING_EXPERIMENT_REQUESTMODEL_H
