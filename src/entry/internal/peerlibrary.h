#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERLIBRARY_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERLIBRARY_H

#include "entry/internal/instancestate.h"
#include "entry/internal/mailboxes.h"
#include "entry/types/serviceanswer.h"
#include "entry/types/servicequestion.h"
#include "rpc/server.h"

namespace cranberryspool::entry {

/// What an instance offers its peers by JSON-RPC: the sections of published
/// values and kept answers. Runs on the peer-server duty, which may block.
class PeerLibrary {
public:
  explicit PeerLibrary(InstanceState &Shared);

  ServiceAnswer answer(const ServiceQuestion &Question);

private:
  std::string fetchSections(const std::string &Parameters);
  std::string fetchKeptAnswer(const std::string &Parameters);

  InstanceState &Shared_;
  rpc::Server Methods_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERLIBRARY_H
