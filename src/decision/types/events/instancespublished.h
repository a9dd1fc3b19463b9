#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESPUBLISHED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESPUBLISHED_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::decision {

/// The platform returned its list of running and leaving instances.
struct InstancesPublished {
  framework::Revision Revision_;
  std::vector<document::PublishedInstance> Instances_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_INSTANCESPUBLISHED_H
