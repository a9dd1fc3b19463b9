#ifndef CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDCONFIGURATION_H
#define CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDCONFIGURATION_H

#include "document/types/environmentdocument.h"

#include <cstdint>
#include <memory>

namespace cranberryspool::fleet {

/// The operators' document in the platform's metadata store.
struct PublishedConfiguration {
  std::uint64_t Version_ = 0;
  std::shared_ptr<const document::EnvironmentDocument> Document_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_PUBLISHEDCONFIGURATION_H
