#ifndef CRANBERRYSPOOL_STANDINS_INSTANCEADDRESS_H
#define CRANBERRYSPOOL_STANDINS_INSTANCEADDRESS_H

#include <string>

namespace cranberryspool::standins {

/// The addresses at which an instance accepts calls and answers readiness
/// checks.
struct InstanceAddress {
  /// `IP:port` for calls.
  std::string CallerAddress_;
  /// `IP:port` of the operator interface, which serves `/readyz`.
  std::string OperatorAddress_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_INSTANCEADDRESS_H
