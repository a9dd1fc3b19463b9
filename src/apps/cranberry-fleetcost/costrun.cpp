#include "costrun.h"
#include "costdocument.h"
#include "fleet/tests/simulatedfleet.h"

#include <malloc.h>

#include <algorithm>
#include <vector>

namespace cranberryspool::fleetcost {

using namespace std::chrono_literals;

namespace {

constexpr framework::Duration Settling = 20s;
constexpr std::size_t DocumentChanges = 6;
constexpr double SecondsPerDay = 86'400;

void setAllWarm(fleet::SimulatedFleet &Fleet, std::size_t Targets) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    for (std::size_t Target = 0; Target < Targets; ++Target)
      Fleet.fleet(Index).setWarm(
          framework::TargetName("target-" + std::to_string(Target)), true);
}

double totalBytes(const fleet::SimulatedTraffic &Traffic) {
  return static_cast<double>(Traffic.SentBytes_ + Traffic.ReceivedBytes_ +
                             Traffic.BulkBytes_ + Traffic.PlatformBytes_);
}

/// Ends all instances and returns the heap that each held.
double releaseAll(fleet::SimulatedFleet &Fleet) {
  const std::size_t Before = mallinfo2().uordblks;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.kill(Index);
  const std::size_t After = mallinfo2().uordblks;
  return static_cast<double>(Before - After) /
         static_cast<double>(Fleet.size());
}

CostSample summarise(fleet::SimulatedFleet &Fleet, double Seconds) {
  CostSample Sample;
  const auto Count = static_cast<double>(Fleet.size());
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    const fleet::SimulatedTraffic &Traffic = Fleet.instance(Index).Traffic_;
    const auto Peer =
        static_cast<double>(Traffic.SentBytes_ + Traffic.ReceivedBytes_);
    Sample.Messages_ +=
        static_cast<double>(Traffic.SentMessages_ + Traffic.ReceivedMessages_) /
        Seconds / Count;
    Sample.PeerBytes_ += Peer / Seconds / Count;
    Sample.LargestPeerBytes_ =
        std::max(Sample.LargestPeerBytes_, Peer / Seconds);
    Sample.BulkBytes_ +=
        static_cast<double>(Traffic.BulkBytes_) / Seconds / Count;
    Sample.PlatformBytes_ =
        std::max(Sample.PlatformBytes_,
                 static_cast<double>(Traffic.PlatformBytes_) / Seconds);
    Sample.PlatformCalls_ +=
        static_cast<double>(Traffic.PlatformCalls_) / Seconds;
    Sample.LargestBytes_ =
        std::max(Sample.LargestBytes_, totalBytes(Traffic) / Seconds);
    Sample.BusyMicroseconds_ +=
        static_cast<double>(Traffic.CpuTime_.count()) / 1'000 / Seconds / Count;
  }
  return Sample;
}

} // namespace

CostSample measureCost(std::size_t Instances, std::size_t Targets,
                       const ChangeRates &Rates, std::uint64_t Seed) {
  const std::size_t Services = serviceCount(Targets);
  fleet::SimulatedFleet Fleet(Instances, Seed);
  Fleet.platform().publishDocument(framework::Revision(1),
                                   makeDocument(Services, 0));
  Fleet.setTargets(makeTargets(Targets));
  Fleet.startAll();
  Fleet.advance(Settling);
  setAllWarm(Fleet, Targets);
  Fleet.measure();
  for (std::size_t Index = 0; Index < Instances; ++Index)
    Fleet.instance(Index).Traffic_ = fleet::SimulatedTraffic{};
  const double Gap = SecondsPerDay / Rates.DocumentPerDay_;
  const double ListChangesPerGap =
      2 * Rates.RestartsPerDay_ / Rates.DocumentPerDay_;
  const auto Pause =
      framework::Duration(static_cast<framework::Duration::rep>(Gap * 1e6));
  double ListChanges = 0;
  for (std::size_t Change = 1; Change <= DocumentChanges; ++Change) {
    Fleet.platform().publishDocument(framework::Revision(Change + 1),
                                     makeDocument(Services, Change));
    ListChanges += ListChangesPerGap;
    if (ListChanges >= 1) {
      ListChanges -= 1;
      Fleet.setLeaving(Change % Instances, Change % 2 == 0);
      Fleet.publishList();
    }
    Fleet.advance(Pause);
  }
  CostSample Sample =
      summarise(Fleet, Gap * static_cast<double>(DocumentChanges));
  Sample.Instances_ = Instances;
  Sample.Targets_ = Targets;
  Sample.DocumentBytes_ = static_cast<double>(makeDocument(Services, 0).size());
  Sample.MemoryBytes_ = releaseAll(Fleet);
  return Sample;
}

} // namespace cranberryspool::fleetcost
