#include "calls/attemptidgenerator.h"

#include <xxhash.h>

#include <string>

namespace cranberryspool::calls {

namespace {

/// Some JSON and header readers take signed numbers only.
constexpr std::uint64_t SignBit = 1ULL << 63U;

} // namespace

AttemptIdGenerator::AttemptIdGenerator(const framework::InstanceName &Self,
                                       framework::Incarnation Start) {
  const std::string Origin = Self.value() + '#' + std::to_string(Start.value());
  const std::uint64_t Place = XXH3_64bits(Origin.data(), Origin.size());
  Last_ = (Place & ~SignBit) >> CounterBits << CounterBits;
}

} // namespace cranberryspool::calls
