#ifndef CRANBERRYSPOOL_CALLS_ATTEMPTIDGENERATOR_H
#define CRANBERRYSPOOL_CALLS_ATTEMPTIDGENERATOR_H

#include "framework/ids.h"

#include <cstdint>

namespace cranberryspool::calls {

/// Numbers the attempts of an instance. Targets serve many instances, and a
/// crossed answer may belong to an attempt of another one, or of this one
/// before it started again: so the numbers of one start of an instance begin at
/// a place of their own, which follows from its name and incarnation.
class AttemptIdGenerator {
public:
  /// The low bits that count the attempts of one start, at first.
  static constexpr std::uint32_t CounterBits = 24;

  AttemptIdGenerator(const framework::InstanceName &Self,
                     framework::Incarnation Start);

  framework::AttemptId next() { return framework::AttemptId(++Last_); }

private:
  std::uint64_t Last_;
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_ATTEMPTIDGENERATOR_H
