#ifndef CRANBERRYSPOOL_CALLS_ATTEMPTIDGENERATOR_H
#define CRANBERRYSPOOL_CALLS_ATTEMPTIDGENERATOR_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::calls {

/// Generates the ids of an instance's attempts. Targets serve many instances,
/// and a mismatched response may belong to an attempt of another instance, or
/// of this one before a restart. Therefore each incarnation of an instance
/// starts at an id of its own, derived from its name and incarnation.
class AttemptIdGenerator {
public:
  /// The number of low bits that count the attempts of an incarnation. Further
  /// attempts carry over into the higher bits.
  static constexpr std::uint32_t CounterBits = 24;

  AttemptIdGenerator(const framework::InstanceName &Self,
                     framework::Incarnation Start);

  framework::AttemptId next() { return framework::AttemptId(++LastId_); }

private:
  std::uint64_t LastId_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_ATTEMPTIDGENERATOR_H
