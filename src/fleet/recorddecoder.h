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

/// What an entry of the platform's store says.
using PublishedItem = std::variant<UnreadableRecord, PublishedConfiguration,
                                   PublishedTarget, EvacuatedZone>;

/// Reads the key and value of an entry in the platform's own format.
using RecordDecoder = std::function<PublishedItem(const std::string &Key,
                                                  const std::string &Value)>;

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_RECORDDECODER_H
