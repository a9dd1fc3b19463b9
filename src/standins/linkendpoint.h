#ifndef CRANBERRYSPOOL_STANDINS_LINKENDPOINT_H
#define CRANBERRYSPOOL_STANDINS_LINKENDPOINT_H

#include <string>

namespace cranberryspool::standins {

/// An instance as the link between instances knows it.
struct LinkEndpoint {
  std::string Name_;
  /// `IP:port` that the platform's list names for the instance.
  std::string Published_;
  /// `IP:port` at which the instance really listens for its peers. Its IP also
  /// tells who sends.
  std::string Real_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_LINKENDPOINT_H
