#ifndef CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDFLEET_H
#define CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDFLEET_H

#include "fleet/tests/linkfaults.h"
#include "fleet/tests/simulatedclock.h"
#include "fleet/tests/simulatedinstance.h"
#include "fleet/tests/simulatedplatform.h"
#include "framework/random.h"

#include <cstddef>
#include <deque>

namespace cranberryspool::fleet {

/// A fleet of instances in simulated time, with an unreliable network and a
/// platform.
class SimulatedFleet {
public:
  SimulatedFleet(std::size_t Count, std::uint64_t Seed);

  SimulatedClock &clock() { return Clock_; }
  SimulatedPlatform &platform() { return Platform_; }
  LinkFaults &faults() { return Faults_; }
  framework::Random &random() { return Rng_; }
  std::size_t size() const { return Instances_.size(); }
  SimulatedInstance &instance(std::size_t Index) { return Instances_[Index]; }
  Fleet &fleet(std::size_t Index) { return *Instances_[Index].Fleet_; }

  void startAll();
  void start(std::size_t Index);
  /// Ends the process abruptly, without notifying its peers.
  void kill(std::size_t Index);
  void pause(std::size_t Index);
  void resume(std::size_t Index);
  void setLeaving(std::size_t Index, bool IsLeaving);
  void setTargets(std::vector<document::PublishedInstance> Targets);
  /// Publishes the current list of instances.
  void publishList();
  void advance(framework::Duration Length) { Clock_.advance(Length); }

  /// Starts measuring the processor time of decisions, encoding and decoding.
  void measure() { IsMeasuring_ = true; }

  bool isRunning(std::size_t Index) const;
  framework::Moment momentOf(std::size_t Index) const;
  framework::Instant instantOf(std::size_t Index) const {
    return momentOf(Index).Monotonic_;
  }
  bool isFresh(std::size_t Index) const;
  /// Calls `Step` for an instance and performs the resulting outputs.
  void run(std::size_t Index,
           const std::function<void(Fleet &, framework::Moment, OutputList &)>
               &Step);

private:
  void scheduleTick(std::size_t Index, std::uint64_t Process);
  void deliver(std::size_t Index, std::uint64_t Process,
               std::function<void()> Step);
  void execute(std::size_t Index, const OutputList &Output);
  void execute(std::size_t Index, const SendMessage &Action);
  void execute(std::size_t Index, const ReadPublished &Action);
  void execute(std::size_t Index, const FetchSections &Action);
  void execute(std::size_t Index, const DocumentApplied &Action);
  void execute(std::size_t Index, const KeyDecided &Action);
  void execute(std::size_t Index, const TargetReportedWarm &Action);
  void execute(std::size_t Index, const TargetReportedCold &Action);
  template <typename Other> void execute(std::size_t, const Other &) {}
  std::size_t findByAddress(const std::string &Address) const;
  bool areConnected(std::size_t From, std::size_t To) const;
  framework::Duration randomLinkDelay();
  void receiveMessage(std::size_t Index,
                      const std::vector<std::uint8_t> &Datagram);

  SimulatedClock Clock_;
  SimulatedPlatform Platform_;
  framework::Random Rng_;
  LinkFaults Faults_;
  std::deque<SimulatedInstance> Instances_;
  bool IsMeasuring_ = false;
  std::vector<bool> Leaving_;
  std::vector<document::PublishedInstance> Targets_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDFLEET_H
