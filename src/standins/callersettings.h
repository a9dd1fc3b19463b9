#ifndef CRANBERRYSPOOL_STANDINS_CALLERSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_CALLERSETTINGS_H

#include "standins/callerstream.h"
#include "standins/entryaddress.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::standins {

/// What the callers do and where the instances are.
struct CallerSettings {
  std::vector<EntryAddress> Entries_;
  std::vector<CallerStream> Streams_;
  std::uint64_t Seed_ = 1;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLERSETTINGS_H
