#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READPUBLISHED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READPUBLISHED_H

#include "fleet/types/sectionkind.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Requests reading a published value from the platform, or watching it for a
/// revision newer than the given one.
struct ReadPublished {
  SectionKind Kind_ = SectionKind::Document;
  std::optional<framework::Revision> NewerThan_;
  /// How long the platform may delay its response; zero for a plain read.
  framework::Duration Wait_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READPUBLISHED_H
