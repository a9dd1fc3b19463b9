#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_FETCHSTATUS_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_FETCHSTATUS_H

#include "framework/result.h"
#include "framework/time.h"
#include "operations/types/fetchfailure.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

using FetchResult = framework::Result<std::string, FetchFailure>;

/// Reads `/status` from the operator ports of all instances at once. The
/// results are in the order of the addresses (`IP:port`); each is there within
/// the timeout.
std::vector<FetchResult> fetchStatus(const std::vector<std::string> &Addresses,
                                     framework::Duration Timeout);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_FETCHSTATUS_H
