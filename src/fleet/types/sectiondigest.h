#ifndef CRANBERRYSPOOL_FLEET_TYPES_SECTIONDIGEST_H
#define CRANBERRYSPOOL_FLEET_TYPES_SECTIONDIGEST_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// The name and content hash of one section of a published value.
struct SectionDigest {
  std::string Name_;
  framework::Digest Digest_;

  friend bool operator==(const SectionDigest &,
                         const SectionDigest &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SECTIONDIGEST_H
