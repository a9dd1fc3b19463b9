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

/// Several instances in virtual time over a lossy link, with a platform.
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
  /// Ends the process without a word.
  void kill(std::size_t Index);
  void pause(std::size_t Index);
  void wake(std::size_t Index);
  void setLeaving(std::size_t Index, bool IsLeaving);
  void setTargets(std::vector<document::PublishedInstance> Targets);
  /// Publishes the list as it stands.
  void publishList();
  void advance(framework::Duration Length) { Clock_.advance(Length); }

  /// Makes the fixture decode datagrams and take the processor time of control.
  void measure() { IsMeasuring_ = true; }

  bool isRunning(std::size_t Index) const;
  framework::Moment momentOf(std::size_t Index) const;
  framework::Instant instantOf(std::size_t Index) const {
    return momentOf(Index).Monotonic_;
  }
  bool isFresh(std::size_t Index) const;
  /// Runs something at an instance and carries out its outputs.
  void run(std::size_t Index,
           const std::function<void(Fleet &, framework::Moment, OutputList &)>
               &Step);

private:
  void scheduleTick(std::size_t Index, std::uint64_t Process);
  void deliver(std::size_t Index, std::uint64_t Process,
               std::function<void()> Step);
  void carryOut(std::size_t Index, const OutputList &Output);
  void carryOut(std::size_t Index, const SendMessage &Action);
  void carryOut(std::size_t Index, const ReadPublished &Action);
  void carryOut(std::size_t Index, const FetchSections &Action);
  void carryOut(std::size_t Index, const DocumentApplied &Action);
  void carryOut(std::size_t Index, const KeyDecided &Action);
  void carryOut(std::size_t Index, const TargetReportedWarm &Action);
  void carryOut(std::size_t Index, const TargetReportedCold &Action);
  template <typename Other> void carryOut(std::size_t, const Other &) {}
  std::size_t find(const std::string &Address) const;
  bool areConnected(std::size_t From, std::size_t To) const;
  framework::Duration linkDelay();
  void takeMessage(std::size_t Index,
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
