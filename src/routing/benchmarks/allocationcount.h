#ifndef CRANBERRYSPOOL_ROUTING_BENCHMARKS_ALLOCATIONCOUNT_H
#define CRANBERRYSPOOL_ROUTING_BENCHMARKS_ALLOCATIONCOUNT_H

#include <cstdint>

namespace cranberryspool::routing {

/// Returns how many times the benchmark program has allocated memory.
std::uint64_t allocationCount();

} // namespace cranberryspool::routing

#endif // CRANBERRYSPOOL_ROUTING_BENCHMARKS_ALLOCATIONCOUNT_H
