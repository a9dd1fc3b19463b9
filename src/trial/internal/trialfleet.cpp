#include "trial/internal/trialfleet.h"

#include "entry/entryinstance.h"
#include "standins/address.h"

namespace cranberryspool::trial {

namespace {

/// A trial has no load balancer that needs time to notice a stopping instance.
constexpr framework::Duration StopLinger = std::chrono::milliseconds(10);

entry::Endpoint toEndpoint(const std::string &Address) {
  const auto Parsed = standins::parseAddress(Address);
  return {Parsed.address().to_string(), Parsed.port()};
}

entry::EntrySettings makeSettings(const InstancePlan &Plan,
                                  const std::string &PlatformAddress) {
  entry::EntrySettings Settings;
  Settings.Name_ = framework::InstanceName(Plan.Name_);
  Settings.Zone_ = framework::ZoneName(Plan.Zone_);
  Settings.CallerListen_ = toEndpoint(Plan.CallerAddress_);
  Settings.PeerListen_ = toEndpoint(Plan.PeerAddress_);
  Settings.OperatorListen_ = toEndpoint(Plan.OperatorAddress_);
  Settings.DocumentService_ = toEndpoint(PlatformAddress);
  Settings.InstanceList_ = toEndpoint(PlatformAddress);
  Settings.StopLinger_ = StopLinger;
  return Settings;
}

} // namespace

/// Owns one entry instance of the fleet.
class TrialFleet::RunningInstance {
public:
  explicit RunningInstance(entry::EntrySettings Settings)
      : Instance_(std::move(Settings)) {}

  entry::EntryInstance &instance() { return Instance_; }

private:
  entry::EntryInstance Instance_;
};

TrialFleet::TrialFleet() = default;

TrialFleet::~TrialFleet() { stop(); }

framework::Result<void, TrialError>
TrialFleet::start(const std::vector<InstancePlan> &Plans,
                  const std::string &PlatformAddress) {
  for (const InstancePlan &Plan : Plans) {
    auto Running =
        std::make_unique<RunningInstance>(makeSettings(Plan, PlatformAddress));
    const auto StartResult = Running->instance().start();
    if (!StartResult)
      return TrialError{TrialError::Kind::AddressInUse, Plan.Name_};
    Instances_.push_back(std::move(Running));
  }
  return framework::success();
}

std::uint32_t TrialFleet::stop() {
  for (const auto &Running : Instances_)
    Running->instance().requestStop();
  std::uint32_t UncleanStops = 0;
  for (const auto &Running : Instances_)
    if (Running->instance().waitUntilStopped() != entry::ExitCode::Stopped)
      ++UncleanStops;
  Instances_.clear();
  return UncleanStops;
}

} // namespace cranberryspool::trial
