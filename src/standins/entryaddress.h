#ifndef CRANBERRYSPOOL_STANDINS_ENTRYADDRESS_H
#define CRANBERRYSPOOL_STANDINS_ENTRYADDRESS_H

#include <string>

namespace cranberryspool::standins {

/// The addresses at which an instance accepts calls and answers readiness
/// checks.
struct InstanceAddress {
  std::string CallerAddress_;
  std::string OperatorAddress_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_ENTRYADDRESS_H
