#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_DURATIONBUCKETS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_DURATIONBUCKETS_H

#include <prometheus/histogram.h>

namespace cranberryspool::entry {

/// The upper bounds of the buckets of call durations, in seconds.
inline const prometheus::Histogram::BucketBoundaries DurationBucketBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_DURATIONBUCKETS_H
