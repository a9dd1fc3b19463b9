#ifndef CRANBERRYSPOOL_STANDINS_PEERENDPOINT_H
#define CRANBERRYSPOOL_STANDINS_PEERENDPOINT_H

#include <string>

namespace cranberryspool::standins {

/// The addresses of an instance on the simulated network between instances.
struct PeerEndpoint {
  std::string Name_;
  /// `IP:port` that the platform's instance list gives for the instance. The
  /// proxy listens there.
  std::string PublishedAddress_;
  /// `IP:port` at which the instance listens for its peers. The IP address also
  /// identifies the instance as the sender of traffic.
  std::string ActualAddress_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PEERENDPOINT_H
