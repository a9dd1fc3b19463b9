#ifndef CRANBERRYSPOOL_FLEET_TESTS_VIRTUALFLEET_H
#define CRANBERRYSPOOL_FLEET_TESTS_VIRTUALFLEET_H

#include "fleet/tests/linkfaults.h"
#include "fleet/tests/virtualclock.h"
#include "fleet/tests/virtualinstance.h"
#include "fleet/tests/virtualplatform.h"
#include "framework/random.h"

#include <cstddef>
#include <deque>

namespace cranberryspool::fleet {

/// A fleet of instances in simulated time, with an unreliable network and a
/// platform.
class VirtualFleet {
public:
  VirtualFleet(std::size_t Count, std::uint64_t Seed);

  VirtualClock &clock() { return Clock_; }
  VirtualPlatform &platform() { return Platform_; }
  LinkFaults &faults() { return Faults_; }
  framework::Random &random() { return Rng_; }
  std::size_t size() const { return Instances_.size(); }
  VirtualInstance &instance(std::size_t Index) { return Instances_[Index]; }
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
  void perform(std::size_t Index, const OutputList &Output);
  void perform(std::size_t Index, const SendMessage &Action);
  void perform(std::size_t Index, const ReadPublished &Action);
  void perform(std::size_t Index, const FetchSections &Action);
  void perform(std::size_t Index, const DocumentApplied &Action);
  void perform(std::size_t Index, const KeyDecided &Action);
  void perform(std::size_t Index, const TargetReportedWarm &Action);
  void perform(std::size_t Index, const TargetReportedCold &Action);
  template <typename Other> void perform(std::size_t, const Other &) {}
  std::size_t find(const std::string &Address) const;
  bool areConnected(std::size_t From, std::size_t To) const;
  framework::Duration randomLinkDelay();
  void receiveMessage(std::size_t Index,
                      const std::vector<std::uint8_t> &Datagram);

  VirtualClock Clock_;
  VirtualPlatform Platform_;
  framework::Random Rng_;
  LinkFaults Faults_;
  std::deque<VirtualInstance> Instances_;
  bool IsMeasuring_ = false;
  std::vector<bool> Leaving_;
  std::vector<document::PublishedInstance> Targets_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_VIRTUALFLEET_H
