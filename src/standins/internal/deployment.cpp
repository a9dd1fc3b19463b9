#include "standins/deployment.h"

#include "standins/address.h"

namespace cranberryspool::standins {

Deployment::Deployment(boost::asio::io_context &Context,
                       const DeploymentSettings &Settings,
                       framework::Random Rng)
    : Platform_(Context, parseAddress(Settings.PlatformAddress_),
                Settings.PlatformCallsPerSecond_),
      PeerNetwork_(Context, Settings.PeerNetwork_) {
  for (const TargetSettings &Target : Settings.Targets_) {
    Targets_.push_back(std::make_unique<TargetStandin>(
        Context, Target, Record_, framework::Random(Rng.bits())));
    publishTarget(*Targets_.back(), false);
  }
  for (const document::PublishedInstance &Instance : Settings.Instances_)
    Platform_.setInstance(Instance);
  Platform_.setListLag(Settings.ListLag_);
  Platform_.publishDocument(Settings.Document_);
}

std::vector<TargetStandin *>
Deployment::selectTargets(const std::string &Selector) {
  std::vector<TargetStandin *> Selected;
  for (const auto &Target : Targets_) {
    const TargetSettings &Settings = Target->settings();
    const bool IsMatch = Selector == "*" ||
                         Settings.Name_.value() == Selector ||
                         Settings.Group_.value() == Selector ||
                         Settings.Zone_.value() == Selector;
    if (IsMatch)
      Selected.push_back(Target.get());
  }
  return Selected;
}

void Deployment::publishTarget(const TargetStandin &Target, bool IsLeaving) {
  const TargetSettings &Settings = Target.settings();
  document::PublishedInstance Entry;
  Entry.Name_ = Settings.Name_;
  Entry.Group_ = Settings.Group_;
  Entry.Zone_ = Settings.Zone_;
  Entry.Address_ = Settings.Address_;
  Entry.IsLeaving_ = IsLeaving;
  Platform_.setInstance(Entry);
}

} // namespace cranberryspool::standins
