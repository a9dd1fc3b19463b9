#include "calls/attemptidgenerator.h"

#include <xxhash.h>

#include <string>

namespace cranberryspool::calls {

namespace {

/// Never set in ids, because some JSON and header parsers accept only signed
/// integers.
constexpr std::uint64_t SignBit = 1ULL << 63U;

} // namespace

AttemptIdGenerator::AttemptIdGenerator(const framework::InstanceName &Self,
                                       framework::Incarnation Start) {
  const std::string Key = Self.value() + '#' + std::to_string(Start.value());
  const std::uint64_t Hash = XXH3_64bits(Key.data(), Key.size());
  LastId_ = (Hash & ~SignBit) >> CounterBits << CounterBits;
}

} // namespace cranberryspool::calls
