#ifndef CRANBERRYSPOOL_DECISION_CORESETTINGS_H
#define CRANBERRYSPOOL_DECISION_CORESETTINGS_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// What an instance knows of itself before it has heard from anybody.
struct CoreSettings {
  framework::InstanceName Self_;
  framework::Incarnation Incarnation_;
  framework::ZoneName Zone_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_CORESETTINGS_H
