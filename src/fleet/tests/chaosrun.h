#ifndef CRANBERRYSPOOL_FLEET_TESTS_CHAOSRUN_H
#define CRANBERRYSPOOL_FLEET_TESTS_CHAOSRUN_H

#include "fleet/tests/chaosresult.h"
#include "fleet/tests/simulatedfleet.h"

#include <map>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// One seeded run of a small fleet with network partitions, restarts, pauses,
/// platform outages and an unreliable network, while it sends probes, requests
/// to cold targets and calls with idempotency keys.
class ChaosRun {
public:
  explicit ChaosRun(std::uint64_t Seed);

  ChaosResult run();

private:
  struct ColdTarget {
    std::uint32_t InFlight_ = 0;
    std::map<std::size_t, std::uint32_t> InFlightByInstance_;
    std::vector<framework::Instant> Probes_;
  };
  struct KeyedCall {
    std::string Key_;
    std::size_t Instance_ = 0;
    std::uint64_t Process_ = 0;
  };

  framework::Duration randomDuration(framework::Duration Min,
                                     framework::Duration Max);
  std::size_t randomInstance();
  void injectFault();
  void partitionFleet();
  void healNetwork();
  /// Disconnects one instance from its peers and the platform; meanwhile the
  /// list may mark it as leaving.
  void isolateInstance();
  void replaceInstance();
  void pauseInstance();
  void disconnectPlatform();
  void leaveAndReturn();
  void exerciseTargets();
  void probe(std::size_t Index, std::size_t Target);
  void sendToColdTarget(std::size_t Index, std::size_t Target);
  std::string makeKey();
  /// Sends a new key through the given instance and then twice more through
  /// random ones.
  void issueKey(std::size_t First);
  void sendKey(const std::string &Key, std::size_t Index);
  void processDecisions();
  void runCall(framework::CallId Call, const KeyedCall &Item);

  SimulatedFleet Fleet_;
  framework::Random &Rng_;
  std::vector<ColdTarget> Targets_;
  std::map<framework::CallId, KeyedCall> RequestedCalls_;
  std::map<std::string, std::uint32_t> RunCounts_;
  std::uint64_t NextCall_ = 1;
  ChaosResult Result_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_CHAOSRUN_H
