#ifndef CRANBERRYSPOOL_FRAMEWORK_RUNTIME_CLOCKS_H
#define CRANBERRYSPOOL_FRAMEWORK_RUNTIME_CLOCKS_H

#include "framework/moment.h"

namespace cranberryspool::framework {

/// Reads the boot clock and the time of day. The boot clock advances while the
/// process is stopped, so that a pause of the process is visible as a gap.
Moment readMoment();

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_RUNTIME_CLOCKS_H
