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
/// The third number of the addresses of instances, and of the first service.
constexpr std::size_t InstanceNet = 1;
constexpr std::size_t FirstTargetNet = 10;
constexpr double MicrosPerSecond = 1e6;

std::string pathOf(const document::RequestKind &Kind) {
  std::string Path =
      boost::algorithm::replace_all_copy(Kind.PathPattern_, "**", "{id}");
  boost::algorithm::replace_all(Path, "*", "{id}");
  return Path;
}

} // namespace

TrialPlan::TrialPlan(const document::EnvironmentDocument &Document,
                     std::string Text, const TrialSettings &Settings)
    : Settings_(Settings) {
  Behind_.PlatformAddress_ = address(0, 1, PlatformPort);
  Behind_.Document_ = std::move(Text);
  Callers_.Seed_ = Settings.Seed_;
  planInstances(Document);
  std::size_t Position = 0;
  for (const document::Service &Service : Document.Services_) {
    planTargets(Service, Position++);
    planStreams(Service);
  }
}

std::string TrialPlan::address(std::size_t Third, std::size_t Fourth,
                               unsigned Port) const {
  return "127." + std::to_string(Settings_.Network_) + "." +
         std::to_string(Third) + "." + std::to_string(Fourth) + ":" +
         std::to_string(Port);
}

void TrialPlan::planInstances(const document::EnvironmentDocument &Document) {
  for (std::size_t I = 0; I < Settings_.Instances_; ++I) {
    InstancePlan Plan;
    Plan.Name_ = "trial-" + std::to_string(I + 1);
    Plan.Zone_ = Document.Zones_[I % Document.Zones_.size()].Name_.value();
    Plan.Caller_ = address(InstanceNet, I + 1, CallerPort);
    Plan.Peer_ = address(InstanceNet, I + 1, PeerPort);
    Plan.Operator_ = address(InstanceNet, I + 1, OperatorPort);
    document::PublishedInstance Entry;
    Entry.Name_ = framework::InstanceName(Plan.Name_);
    Entry.Zone_ = framework::ZoneName(Plan.Zone_);
    Entry.Address_ = Plan.Peer_;
    Behind_.Instances_.push_back(Entry);
    Callers_.Instances_.push_back(
        standins::InstanceAddress{Plan.Caller_, Plan.Operator_});
    Instances_.push_back(std::move(Plan));
  }
}

void TrialPlan::planTargets(const document::Service &Service,
                            std::size_t Position) {
  std::size_t Number = 0;
  for (const document::TargetGroup &Group : Service.Groups_) {
    for (std::uint32_t I = 0; I < Settings_.TargetsPerGroup_; ++I) {
      ++Number;
      standins::TargetSettings Target;
      Target.Name_ = framework::InstanceName(Service.Name_.value() + "-" +
                                             std::to_string(Number));
      Target.Group_ = Group.Name_;
      Target.Zone_ = Group.Zone_;
      Target.Address_ = address(FirstTargetNet + Position, Number, TargetPort);
      Target.Slots_ = Service.SlotsPerTarget_;
      Target.ConnectionLimit_ = Service.ConnectionsPerTarget_;
      Target.MeanServiceTime_ = Settings_.MeanServiceTime_;
      Target.ColdInFlight_ = Service.ColdStart_.MaxInFlight_;
      Target.Warmup_ = Service.ColdStart_.Warmup_;
      Behind_.Targets_.push_back(std::move(Target));
    }
  }
}

void TrialPlan::planStreams(const document::Service &Service) {
  const double Slots =
      static_cast<double>(Service.Groups_.size() * Settings_.TargetsPerGroup_ *
                          Service.SlotsPerTarget_);
  const double CallsPerSecond =
      Settings_.Load_ * Slots * MicrosPerSecond /
      static_cast<double>(Settings_.MeanServiceTime_.count());
  for (const document::RequestKind &Kind : Service.Kinds_) {
    standins::CallerStream Stream;
    Stream.Name_ = Service.Name_.value() + "/" + Kind.Name_.value();
    Stream.Method_ = Kind.Method_;
    Stream.Path_ = pathOf(Kind);
    Stream.Rate_ = CallsPerSecond / static_cast<double>(Service.Kinds_.size());
    Stream.Timeout_ = Kind.Deadline_;
    Stream.HasIdempotencyKey_ = !Kind.IsIdempotent_;
    Callers_.Streams_.push_back(std::move(Stream));
  }
}

} // namespace cranberryspool::trial
