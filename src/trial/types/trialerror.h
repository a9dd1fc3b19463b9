#ifndef CRANBERRYSPOOL_TRIAL_TYPES_TRIALERROR_H
#define CRANBERRYSPOOL_TRIAL_TYPES_TRIALERROR_H

#include <string>

namespace cranberryspool::trial {

/// The reason why a trial could not be run.
struct TrialError {
  enum class Kind {
    /// An instance could not start, normally because one of its loopback
    /// addresses is in use.
    AddressInUse,
    /// Not all instances became ready within the time-out.
    InstanceNotReady,
  };

  Kind Kind_ = Kind::AddressInUse;
  /// The name of the instance; empty if several may be affected.
  std::string Subject_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_TRIALERROR_H
