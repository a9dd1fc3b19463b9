#include "trial/internal/trialfleet.h"

#include "entry/entryinstance.h"
#include "standins/address.h"

namespace cranberryspool::trial {

namespace {

/// No balancer has to notice the stop of a trial.
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
  Settings.CallerListen_ = toEndpoint(Plan.Caller_);
  Settings.PeerListen_ = toEndpoint(Plan.Peer_);
  Settings.OperatorListen_ = toEndpoint(Plan.Operator_);
  Settings.DocumentService_ = toEndpoint(PlatformAddress);
  Settings.InstanceList_ = toEndpoint(PlatformAddress);
  Settings.StopLinger_ = StopLinger;
  return Settings;
}

} // namespace

/// One instance that has been started.
class TrialFleet::Member {
public:
  explicit Member(entry::EntrySettings Settings)
      : Instance_(std::move(Settings)) {}

  entry::EntryInstance &instance() { return Instance_; }

private:
  entry::EntryInstance Instance_;
};

TrialFleet::TrialFleet() = default;

TrialFleet::~TrialFleet() { stop(); }

framework::Result<void, TrialFailure>
TrialFleet::start(const std::vector<InstancePlan> &Plans,
                  const std::string &PlatformAddress) {
  for (const InstancePlan &Plan : Plans) {
    auto Added = std::make_unique<Member>(makeSettings(Plan, PlatformAddress));
    const auto Started = Added->instance().start();
    if (!Started)
      return TrialFailure{TrialFailure::Kind::AddressInUse, Plan.Name_};
    Members_.push_back(std::move(Added));
  }
  return framework::success();
}

std::uint32_t TrialFleet::stop() {
  for (const auto &Each : Members_)
    Each->instance().requestStop();
  std::uint32_t Unclean = 0;
  for (const auto &Each : Members_)
    if (Each->instance().waitUntilStopped() != entry::ExitCode::Stopped)
      ++Unclean;
  Members_.clear();
  return Unclean;
}

} // namespace cranberryspool::trial
