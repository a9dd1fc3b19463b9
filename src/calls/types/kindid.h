#ifndef CRANBERRYSPOOL_CALLS_TYPES_KINDID_H
#define CRANBERRYSPOOL_CALLS_TYPES_KINDID_H

#include "framework/strongid.h"

#include <cstdint>

namespace cranberryspool::calls {

/// The dense number that an instance gives a kind of request of a service.
using KindId = framework::StrongId<struct KindIdTag, std::uint32_t>;

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_KINDID_H
