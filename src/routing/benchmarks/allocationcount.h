#ifndef CRANBERRYSPOOL_ROUTING_BENCHMARKS_ALLOCATIONCOUNT_H
#define CRANBERRYSPOOL_ROUTING_BENCHMARKS_ALLOCATIONCOUNT_H

#include <cstdint>

namespace cranberryspool::routing {

/// Returns the number of memory allocations of the benchmark program so far.
std::uint64_t allocationCount();

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_BENCHMARKS_ALLOCATIONCOUNT_H
