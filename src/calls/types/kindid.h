#ifndef CRANBERRYSPOOL_CALLS_TYPES_KINDID_H
#define CRANBERRYSPOOL_CALLS_TYPES_KINDID_H

#include "framework/strongid.h"

#include <cstdint>

namespace cranberryspool::calls {

/// The index that an instance assigns to a kind of request of a service. The
/// indices are dense.
using KindId = framework::StrongId<struct KindIdTag, std::uint32_t>;

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_KINDID_H
