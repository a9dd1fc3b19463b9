#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_WEIGHTEDSERVICE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_WEIGHTEDSERVICE_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::document {

/// A service that receives a share of the requests of a route.
struct WeightedService {
  framework::ServiceName Service_;
  /// The share of the requests, relative to the weights of the route's other
  /// services.
  std::uint32_t Weight_ = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_WEIGHTEDSERVICE_H
