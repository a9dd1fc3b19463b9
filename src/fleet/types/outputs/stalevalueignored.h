#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_STALEVALUEIGNORED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_STALEVALUEIGNORED_H

#include "fleet/types/sectionkind.h"
#include "framework/ids.h"

namespace cranberryspool::fleet {

/// Reports that the platform or a peer offered a value older than the accepted
/// one.
struct StaleValueIgnored {
  SectionKind Kind_ = SectionKind::Document;
  framework::Revision Revision_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_STALEVALUEIGNORED_H
