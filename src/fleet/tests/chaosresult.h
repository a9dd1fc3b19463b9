#ifndef CRANBERRYSPOOL_FLEET_TESTS_CHAOSRESULT_H
#define CRANBERRYSPOOL_FLEET_TESTS_CHAOSRESULT_H

#include <cstdint>

namespace cranberryspool::fleet {

/// The counts and violations of one seeded run.
struct ChaosResult {
  std::uint64_t Probes_ = 0;
  /// Probes sent sooner after the previous one than the probe rate allows.
  std::uint64_t ProbesTooSoon_ = 0;
  std::uint64_t ColdSends_ = 0;
  std::uint64_t ColdOverloads_ = 0;
  std::uint64_t Keys_ = 0;
  std::uint64_t KeysRun_ = 0;
  std::uint64_t KeysRunTwice_ = 0;
  std::uint64_t RevisionRegressions_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_CHAOSRESULT_H
