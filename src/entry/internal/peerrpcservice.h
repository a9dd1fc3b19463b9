#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERRPCSERVICE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERRPCSERVICE_H

#include "entry/internal/instancestate.h"
#include "entry/internal/workermailboxes.h"
#include "entry/types/servicerequest.h"
#include "entry/types/serviceresponse.h"
#include "rpc/server.h"

namespace cranberryspool::entry {

/// The JSON-RPC methods that an instance offers to its peers: they return
/// sections of published values, and stored responses. Runs on the peer-server
/// worker, which may block.
class PeerRpcService {
public:
  explicit PeerRpcService(InstanceState &State);

  ServiceResponse handle(const ServiceRequest &Request);

private:
  std::string fetchSections(const std::string &Parameters);
  std::string fetchStoredResponse(const std::string &Parameters);

  InstanceState &State_;
  rpc::Server Methods_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERRPCSERVICE_H
