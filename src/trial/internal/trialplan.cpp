#include "trial/trialplan.h"

#include <boost/algorithm/string/replace.hpp>

#include <utility>

namespace cranberryspool::trial {

namespace {

constexpr unsigned PlatformPort = 7000;
constexpr unsigned PeerPort = 7400;
constexpr unsigned CallerPort = 8080;
constexpr unsigned TargetPort = 9000;
constexpr unsigned OperatorPort = 9090;
/// The third octet of the addresses of all entry instances.
constexpr std::size_t InstanceOctet = 1;
/// The third octet of the target addresses of the first service; each further
/// service has the next octet.
constexpr std::size_t FirstServiceOctet = 10;
constexpr double MicrosecondsPerSecond = 1e6;

/// Returns the path pattern of a request kind with `{id}` for its wildcards.
std::string makePathTemplate(const document::RequestKind &Kind) {
  std::string Path =
      boost::algorithm::replace_all_copy(Kind.PathPattern_, "**", "{id}");
  boost::algorithm::replace_all(Path, "*", "{id}");
  return Path;
}

} // namespace

TrialPlan::TrialPlan(const document::EnvironmentDocument &Document,
                     std::string DocumentText, const TrialSettings &Settings)
    : Settings_(Settings) {
  Deployment_.PlatformAddress_ = address(0, 1, PlatformPort);
  Deployment_.Document_ = std::move(DocumentText);
  Callers_.Seed_ = Settings.Seed_;
  addInstances(Document);
  std::size_t ServiceIndex = 0;
  for (const document::Service &Service : Document.Services_) {
    addTargets(Service, ServiceIndex++);
    addStreams(Service);
  }
}

std::string TrialPlan::address(std::size_t ThirdOctet, std::size_t FourthOctet,
                               unsigned Port) const {
  return "127." + std::to_string(Settings_.Network_) + "." +
         std::to_string(ThirdOctet) + "." + std::to_string(FourthOctet) + ":" +
         std::to_string(Port);
}

void TrialPlan::addInstances(const document::EnvironmentDocument &Document) {
  for (std::size_t Index = 0; Index < Settings_.Instances_; ++Index) {
    InstancePlan Plan;
    Plan.Name_ = "trial-" + std::to_string(Index + 1);
    Plan.Zone_ = Document.Zones_[Index % Document.Zones_.size()].Name_.value();
    Plan.CallerAddress_ = address(InstanceOctet, Index + 1, CallerPort);
    Plan.PeerAddress_ = address(InstanceOctet, Index + 1, PeerPort);
    Plan.OperatorAddress_ = address(InstanceOctet, Index + 1, OperatorPort);
    document::PublishedInstance Published;
    Published.Name_ = framework::InstanceName(Plan.Name_);
    Published.Zone_ = framework::ZoneName(Plan.Zone_);
    Published.Address_ = Plan.PeerAddress_;
    Deployment_.Instances_.push_back(Published);
    Callers_.Instances_.push_back(
        standins::InstanceAddress{Plan.CallerAddress_, Plan.OperatorAddress_});
    Instances_.push_back(std::move(Plan));
  }
}

void TrialPlan::addTargets(const document::Service &Service,
                           std::size_t ServiceIndex) {
  std::size_t TargetNumber = 0;
  for (const document::TargetGroup &Group : Service.Groups_) {
    for (std::uint32_t Index = 0; Index < Settings_.TargetsPerGroup_; ++Index) {
      ++TargetNumber;
      standins::TargetSettings Target;
      Target.Name_ = framework::InstanceName(Service.Name_.value() + "-" +
                                             std::to_string(TargetNumber));
      Target.Group_ = Group.Name_;
      Target.Zone_ = Group.Zone_;
      Target.Address_ =
          address(FirstServiceOctet + ServiceIndex, TargetNumber, TargetPort);
      Target.Slots_ = Service.SlotsPerTarget_;
      Target.ConnectionLimit_ = Service.ConnectionsPerTarget_;
      Target.MeanServiceTime_ = Settings_.MeanServiceTime_;
      Target.ColdInFlight_ = Service.ColdStart_.MaxInFlight_;
      Target.Warmup_ = Service.ColdStart_.Warmup_;
      Deployment_.Targets_.push_back(std::move(Target));
    }
  }
}

void TrialPlan::addStreams(const document::Service &Service) {
  const double Slots =
      static_cast<double>(Service.Groups_.size() * Settings_.TargetsPerGroup_ *
                          Service.SlotsPerTarget_);
  const double CallsPerSecond =
      Settings_.Utilization_ * Slots * MicrosecondsPerSecond /
      static_cast<double>(Settings_.MeanServiceTime_.count());
  for (const document::RequestKind &Kind : Service.Kinds_) {
    standins::CallerStream Stream;
    Stream.Name_ = Service.Name_.value() + "/" + Kind.Name_.value();
    Stream.Method_ = Kind.Method_;
    Stream.Path_ = makePathTemplate(Kind);
    Stream.Rate_ = CallsPerSecond / static_cast<double>(Service.Kinds_.size());
    Stream.Timeout_ = Kind.Deadline_;
    Stream.HasIdempotencyKey_ = !Kind.IsIdempotent_;
    Callers_.Streams_.push_back(std::move(Stream));
  }
}

} // namespace cranberryspool::trial
