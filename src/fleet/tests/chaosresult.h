#ifndef CRANBERRYSPOOL_FLEET_TESTS_CHAOSRESULT_H
#define CRANBERRYSPOOL_FLEET_TESTS_CHAOSRESULT_H

#include <cstdint>

namespace cranberryspool::fleet {

/// What one seeded run found.
struct ChaosResult {
  std::uint64_t Probes_ = 0;
  /// Probes that came sooner after the one before than the budget allows.
  std::uint64_t ProbesTooSoon_ = 0;
  std::uint64_t ColdSends_ = 0;
  std::uint64_t ColdOverloads_ = 0;
  std::uint64_t Keys_ = 0;
  std::uint64_t KeysRun_ = 0;
  std::uint64_t KeysRunTwice_ = 0;
  std::uint64_t RevisionsGoneBack_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_CHAOSRESULT_H
