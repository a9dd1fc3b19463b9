#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READPUBLISHED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READPUBLISHED_H

#include "fleet/types/sectionkind.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <optional>

namespace cranberryspool::fleet {

/// Read a published value from the platform, or watch it for a revision above
/// the given one.
struct ReadPublished {
  SectionKind Kind_ = SectionKind::Document;
  std::optional<framework::Revision> NewerThan_;
  /// How long the platform may hold the answer back; zero for a plain read.
  framework::Duration Wait_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_READPUBLISHED_H
