#ifndef CRANBERRYSPOOL_STANDINS_ENTRYADDRESS_H
#define CRANBERRYSPOOL_STANDINS_ENTRYADDRESS_H

#include <string>

namespace cranberryspool::standins {

/// Where an instance takes calls and where it tells its readiness.
struct EntryAddress {
  std::string Caller_;
  std::string Operator_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_ENTRYADDRESS_H
