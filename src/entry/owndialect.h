#ifndef CRANBERRYSPOOL_ENTRY_OWNDIALECT_H
#define CRANBERRYSPOOL_ENTRY_OWNDIALECT_H

#include "entry/types/dialect.h"

namespace cranberryspool::entry {

/// Returns the fields of `protocol/headers.h`, which docs/CALLERS.md describes.
Dialect ownDialect();

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_OWNDIALECT_H
