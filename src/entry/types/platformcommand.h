#ifndef CRANBERRYSPOOL_ENTRY_TYPES_PLATFORMCOMMAND_H
#define CRANBERRYSPOOL_ENTRY_TYPES_PLATFORMCOMMAND_H

#include "decision/types/actions/readdocument.h"
#include "decision/types/actions/readinstances.h"

#include <variant>

namespace cranberryspool::entry {

/// A command of the dispatch worker to the platform reader.
using PlatformCommand =
    std::variant<decision::ReadDocument, decision::ReadInstances>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_PLATFORMCOMMAND_H
