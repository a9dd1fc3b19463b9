#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_FETCHSTATUS_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_FETCHSTATUS_H

#include "framework/result.h"
#include "framework/time.h"
#include "operations/types/fetchfailure.h"

#include <string>
#include <vector>

namespace cranberryspool::operations {

using FetchResult = framework::Result<std::string, FetchFailure>;

/// Requests `/status` from the operator ports (`IP:port`) of all instances
/// concurrently, with the time limit for each. The results are in the order of
/// the addresses.
std::vector<FetchResult> fetchStatus(const std::vector<std::string> &Addresses,
                                     framework::Duration Timeout);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_FETCHSTATUS_H
