#ifndef CRANBERRYSPOOL_DECISION_TYPES_VIEWSTATUS_H
#define CRANBERRYSPOOL_DECISION_TYPES_VIEWSTATUS_H

#include "framework/ids.h"
#include "framework/time.h"

namespace cranberryspool::decision {

/// The version and age of what an instance knows of the platform.
struct ViewStatus {
  framework::Revision Document_;
  /// Of the list or the store.
  framework::Revision Revision_;
  framework::Duration Age_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_VIEWSTATUS_H
