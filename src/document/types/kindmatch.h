#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_KINDMATCH_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_KINDMATCH_H

#include "framework/strongid.h"

#include <cstdint>

namespace cranberryspool::document {

/// The position of a service in `EnvironmentDocument::Services_`.
using ServicePosition =
    framework::StrongId<struct ServicePositionTag, std::uint32_t>;

/// The position of a kind in `Service::Kinds_`.
using KindPosition = framework::StrongId<struct KindPositionTag, std::uint32_t>;

/// The service and the kind that a request belongs to. The positions are valid
/// only for the document that the `KindIndex` was built from.
struct KindMatch {
  ServicePosition Service_;
  KindPosition Kind_;

  friend auto operator<=>(const KindMatch &, const KindMatch &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_KINDMATCH_H
