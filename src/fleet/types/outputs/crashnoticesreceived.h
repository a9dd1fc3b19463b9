#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_CRASHNOTICESRECEIVED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_CRASHNOTICESRECEIVED_H

#include "fleet/types/crashnotice.h"
#include "framework/ids.h"

#include <vector>

namespace cranberryspool::fleet {

/// Another instance has reported requests that targets had when they crashed.
struct CrashNoticesReceived {
  framework::InstanceName From_;
  std::vector<CrashNotice> Notices_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_CRASHNOTICESRECEIVED_H
