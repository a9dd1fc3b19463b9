#ifndef CRANBERRYSPOOL_FLEET_RECORDDECODER_H
#define CRANBERRYSPOOL_FLEET_RECORDDECODER_H

#include "fleet/types/evacuatedzone.h"
#include "fleet/types/publishedconfiguration.h"
#include "fleet/types/publishedtarget.h"
#include "fleet/types/unreadablerecord.h"

#include <functional>
#include <string>
#include <variant>

namespace cranberryspool::fleet {

/// The decoded content of a record in the platform's metadata store.
using PublishedItem = std::variant<UnreadableRecord, PublishedConfiguration,
                                   PublishedTarget, EvacuatedZone>;

/// Decodes the key and value of a record from the platform's own format.
using RecordDecoder = std::function<PublishedItem(const std::string &Key,
                                                  const std::string &Value)>;

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_RECORDDECODER_H
