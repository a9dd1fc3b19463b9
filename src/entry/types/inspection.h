#ifndef CRANBERRYSPOOL_ENTRY_TYPES_INSPECTION_H
#define CRANBERRYSPOOL_ENTRY_TYPES_INSPECTION_H

#include <functional>

namespace cranberryspool::decision {
class Core;
} // namespace cranberryspool::decision

namespace cranberryspool::entry {

class CallStatistics;

/// Reads the state of the dispatch worker, on its thread.
using Inspection =
    std::function<void(const decision::Core &, const CallStatistics &)>;

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_INSPECTION_H
