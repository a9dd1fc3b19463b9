#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMETHODS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMETHODS_H

#include <string>

/// The HTTP path and the names of the JSON-RPC methods between instances.
namespace cranberryspool::entry {

inline const std::string PeerMethodsPath = "/rpc";
inline const std::string FetchSectionsMethod = "fetchSections";
inline const std::string FetchStoredResponseMethod = "fetchKeptAnswer";

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PEERMETHODS_H
