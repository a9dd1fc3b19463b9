#ifndef CRANBERRYSPOOL_TRIAL_TYPES_TRIALFAILURE_H
#define CRANBERRYSPOOL_TRIAL_TYPES_TRIALFAILURE_H

#include <string>

namespace cranberryspool::trial {

/// Why a trial could not be held.
struct TrialFailure {
  enum class Kind {
    /// A loopback address could not be had.
    AddressInUse,
    /// An instance did not start or never became ready.
    InstanceNotReady,
  };

  Kind Kind_ = Kind::AddressInUse;
  /// The address or instance concerned.
  std::string Subject_;
};

} // namespace cranberryspool::trial

#endif // CRANBERRYSPOOL_TRIAL_TYPES_TRIALFAILURE_H
