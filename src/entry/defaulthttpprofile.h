#ifndef CRANBERRYSPOOL_ENTRY_DEFAULTHTTPPROFILE_H
#define CRANBERRYSPOOL_ENTRY_DEFAULTHTTPPROFILE_H

#include "entry/types/httpprofile.h"

namespace cranberryspool::entry {

/// Returns the profile with the header names of `protocol/headers.h`, which
/// docs/CALLERS.md describes.
HttpProfile defaultHttpProfile();

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_DEFAULTHTTPPROFILE_H
