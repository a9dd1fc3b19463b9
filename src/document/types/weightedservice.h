#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_WEIGHTEDSERVICE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_WEIGHTEDSERVICE_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::document {

/// One of the services that share the requests of a route.
struct WeightedService {
  framework::ServiceName Service_;
  /// The part's share of the requests, relative to the other parts.
  std::uint32_t Weight_ = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_WEIGHTEDSERVICE_H
