#include "fleet/tests/simulatedfleet.h"
#include "fleet/peercodec.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace cranberryspool::fleet {

namespace {

constexpr framework::Duration FetchTimeout = std::chrono::milliseconds(500);
constexpr framework::Duration MaxWallSkew = std::chrono::milliseconds(400);
constexpr framework::Duration MinTickDelay = std::chrono::milliseconds(1);

/// The size of the IPv4 and UDP headers.
constexpr std::uint64_t HeaderBytes = 28;

/// The size of the request and response headers of one HTTP exchange, including
/// TCP headers.
constexpr std::uint64_t HttpBytes = 500;

/// The size of a JSON-encoded digest without its name.
constexpr std::uint64_t DigestBytes = 40;

std::uint64_t sectionTransferBytes(const SectionRequest &Request,
                                   const SectionReply &Reply) {
  std::uint64_t Bytes = HttpBytes;
  for (const SectionDigest &Item : Request.Have_)
    Bytes += Item.Name_.size() + DigestBytes;
  for (const SectionDigest &Item : Reply.Manifest_)
    Bytes += Item.Name_.size() + DigestBytes;
  for (const document::DocumentSection &Item : Reply.Changed_)
    Bytes += Item.Text_.size() + Item.Name_.size() + DigestBytes;
  return Bytes;
}

const char *const ZoneNames[] = {"ikeja", "lekki", "yaba"};

} // namespace

SimulatedFleet::SimulatedFleet(std::size_t Count, std::uint64_t Seed)
    : Platform_(Clock_), Rng_(Seed), Leaving_(Count, false) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    SimulatedInstance &Added = Instances_.emplace_back();
    Added.Name_ = framework::InstanceName("entry-" + std::to_string(Index));
    Added.Zone_ = framework::ZoneName(ZoneNames[Index % 3]);
    Added.Address_ = "10.0.0." + std::to_string(Index) + ":7000";
    Added.BootOffset_ = std::chrono::seconds(Rng_.index(100'000));
    Added.WallSkew_ = framework::Duration(
        static_cast<std::int64_t>(Rng_.index(2 * MaxWallSkew.count())) -
        MaxWallSkew.count());
  }
}

void SimulatedFleet::startAll() {
  publishList();
  for (std::size_t Index = 0; Index < size(); ++Index)
    start(Index);
}

void SimulatedFleet::start(std::size_t Index) {
  SimulatedInstance &Item = Instances_[Index];
  Item.Incarnation_ = framework::Incarnation(
      static_cast<std::uint64_t>(Clock_.now().time_since_epoch().count()));
  ++Item.Process_;
  Item.IsPaused_ = false;
  Item.DeferredEvents_.clear();
  Item.HighestRevision_ = framework::Revision{};
  Item.Decisions_.clear();
  Item.ReportedWarm_.clear();
  Item.ReportedCold_.clear();
  Item.Fleet_ = std::make_unique<Fleet>(
      FleetSettings{Item.Name_, Item.Incarnation_, Item.Zone_, Item.Address_},
      framework::Random(Rng_.bits()));
  run(Index, [](Fleet &Self, framework::Moment Now, OutputList &Output) {
    Self.start(Now, Output);
  });
  scheduleTick(Index, Item.Process_);
}

void SimulatedFleet::kill(std::size_t Index) {
  Instances_[Index].Fleet_.reset();
  ++Instances_[Index].Process_;
}

void SimulatedFleet::pause(std::size_t Index) {
  Instances_[Index].IsPaused_ = true;
}

void SimulatedFleet::resume(std::size_t Index) {
  SimulatedInstance &Item = Instances_[Index];
  Item.IsPaused_ = false;
  const auto Steps = std::exchange(Item.DeferredEvents_, {});
  for (const auto &Step : Steps)
    Step();
}

void SimulatedFleet::setLeaving(std::size_t Index, bool IsLeaving) {
  Leaving_[Index] = IsLeaving;
}

void SimulatedFleet::setTargets(
    std::vector<document::PublishedInstance> Targets) {
  Targets_ = std::move(Targets);
}

void SimulatedFleet::publishList() {
  std::vector<document::PublishedInstance> List = Targets_;
  for (std::size_t Index = 0; Index < size(); ++Index) {
    document::PublishedInstance Entry;
    Entry.Name_ = Instances_[Index].Name_;
    Entry.Zone_ = Instances_[Index].Zone_;
    Entry.Address_ = Instances_[Index].Address_;
    Entry.IsLeaving_ = Leaving_[Index];
    List.push_back(Entry);
  }
  Platform_.publishInstances(std::move(List));
}

bool SimulatedFleet::isRunning(std::size_t Index) const {
  const SimulatedInstance &Item = Instances_[Index];
  return Item.Fleet_ && !Item.IsPaused_;
}

framework::Moment SimulatedFleet::momentOf(std::size_t Index) const {
  const SimulatedInstance &Item = Instances_[Index];
  framework::Moment Now;
  Now.Monotonic_ = Clock_.now() + Item.BootOffset_;
  Now.Wall_ =
      framework::WallTime(Clock_.now().time_since_epoch() +
                          std::chrono::hours(24 * 365) + Item.WallSkew_);
  return Now;
}

bool SimulatedFleet::isFresh(std::size_t Index) const {
  return isRunning(Index) &&
         Instances_[Index].Fleet_->isViewFresh(instantOf(Index));
}

void SimulatedFleet::run(
    std::size_t Index,
    const std::function<void(Fleet &, framework::Moment, OutputList &)> &Step) {
  SimulatedInstance &Item = Instances_[Index];
  if (!Item.Fleet_)
    return;
  OutputList Output;
  const auto StartedAt = std::chrono::steady_clock::now();
  Step(*Item.Fleet_, momentOf(Index), Output);
  if (IsMeasuring_)
    Item.Traffic_.CpuTime_ += std::chrono::steady_clock::now() - StartedAt;
  execute(Index, Output);
}

void SimulatedFleet::scheduleTick(std::size_t Index, std::uint64_t Process) {
  const SimulatedInstance &Item = Instances_[Index];
  if (!Item.Fleet_ || Item.Process_ != Process)
    return;
  const framework::Duration Delay =
      std::max(Item.Fleet_->nextWakeUp() - instantOf(Index), MinTickDelay);
  Clock_.scheduleAfter(Delay, [=, this] {
    deliver(Index, Process, [=, this] {
      run(Index, [](Fleet &Self, framework::Moment Now, OutputList &Output) {
        Self.tick(Now, Output);
      });
      scheduleTick(Index, Process);
    });
  });
}

void SimulatedFleet::deliver(std::size_t Index, std::uint64_t Process,
                             std::function<void()> Step) {
  SimulatedInstance &Item = Instances_[Index];
  if (!Item.Fleet_ || Item.Process_ != Process)
    return;
  if (Item.IsPaused_) {
    Item.DeferredEvents_.push_back(std::move(Step));
    return;
  }
  Step();
}

void SimulatedFleet::execute(std::size_t Index, const OutputList &Output) {
  for (const auto &Action : Output)
    std::visit([&](const auto &Item) { execute(Index, Item); }, Action);
}

std::size_t SimulatedFleet::findByAddress(const std::string &Address) const {
  for (std::size_t Index = 0; Index < Instances_.size(); ++Index) {
    if (Instances_[Index].Address_ == Address)
      return Index;
  }
  throw std::logic_error("no instance at " + Address);
}

bool SimulatedFleet::areConnected(std::size_t From, std::size_t To) const {
  return Instances_[From].Partition_ == Instances_[To].Partition_;
}

framework::Duration SimulatedFleet::randomLinkDelay() {
  framework::Duration Delay =
      Faults_.Delay_ / 2 +
      framework::Duration(
          Rng_.index(static_cast<std::size_t>(Faults_.Delay_.count())));
  if (Rng_.fraction() < Faults_.DelayedRate_)
    Delay += framework::Duration(
        Rng_.index(static_cast<std::size_t>(Faults_.MaxExtraDelay_.count())));
  return Delay;
}

void SimulatedFleet::execute(std::size_t Index, const SendMessage &Action) {
  SimulatedTraffic &Traffic = Instances_[Index].Traffic_;
  const auto StartedAt = std::chrono::steady_clock::now();
  const auto Datagram = encodePeerMessage(Action.Message_);
  if (IsMeasuring_)
    Traffic.CpuTime_ += std::chrono::steady_clock::now() - StartedAt;
  if (Datagram.size() > MaxDatagramBytes)
    throw std::logic_error("datagram exceeds the size limit");
  Traffic.SentBytes_ += Datagram.size() + HeaderBytes;
  ++Traffic.SentMessages_;
  const std::size_t To = findByAddress(Action.PeerAddress_);
  if (!areConnected(Index, To) || Rng_.fraction() < Faults_.LossRate_)
    return;
  const int Copies = Rng_.fraction() < Faults_.DuplicationRate_ ? 2 : 1;
  const std::uint64_t Process = Instances_[To].Process_;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    Clock_.scheduleAfter(randomLinkDelay(), [=, this] {
      deliver(To, Process, [=, this] { receiveMessage(To, Datagram); });
    });
  }
}

void SimulatedFleet::receiveMessage(std::size_t Index,
                                    const std::vector<std::uint8_t> &Datagram) {
  SimulatedTraffic &Traffic = Instances_[Index].Traffic_;
  Traffic.ReceivedBytes_ += Datagram.size() + HeaderBytes;
  ++Traffic.ReceivedMessages_;
  const auto StartedAt = std::chrono::steady_clock::now();
  const auto Message = decodePeerMessage(Datagram);
  if (IsMeasuring_)
    Traffic.CpuTime_ += std::chrono::steady_clock::now() - StartedAt;
  if (!Message)
    throw std::logic_error("datagram could not be decoded");
  run(Index, [&](Fleet &Self, framework::Moment Now, OutputList &Output) {
    Self.handlePeerMessage(Message.value(), Transport::Datagram, Now, Output);
  });
}

void SimulatedFleet::execute(std::size_t Index, const ReadPublished &Action) {
  const std::uint64_t Process = Instances_[Index].Process_;
  const SectionKind Kind = Action.Kind_;
  ++Instances_[Index].Traffic_.PlatformCalls_;
  const auto IsReachable = [=, this] {
    return Instances_[Index].CanReachPlatform_;
  };
  const auto Done = [=, this](SimulatedPlatform::Answer Answer) {
    const bool IsDocument = Answer == SimulatedPlatform::Answer::Value &&
                            Kind == SectionKind::Document;
    Instances_[Index].Traffic_.PlatformBytes_ +=
        HttpBytes + (IsDocument ? Platform_.text().size() : 0);
    const framework::Revision Revision = Platform_.revision(Kind);
    const std::string Text = Platform_.text();
    const auto List = Platform_.instances();
    deliver(Index, Process, [=, this] {
      run(Index, [&](Fleet &Self, framework::Moment Now, OutputList &Output) {
        if (Answer == SimulatedPlatform::Answer::Unavailable)
          Self.handleReadFailure(Kind, Now, Output);
        else if (Answer == SimulatedPlatform::Answer::Unchanged)
          Self.handleUnchanged(Kind, Now, Output);
        else if (Kind == SectionKind::Document)
          Self.handleDocument(Revision, Text, Now, Output);
        else
          Self.handleInstances(Revision, List, Now, Output);
      });
    });
  };
  Platform_.read(Kind, Action.NewerThan_, Action.Wait_, IsReachable, Done);
}

void SimulatedFleet::execute(std::size_t Index, const FetchSections &Action) {
  const std::uint64_t Process = Instances_[Index].Process_;
  const std::size_t Peer = findByAddress(Action.PeerAddress_);
  const bool IsServed = areConnected(Index, Peer) && isRunning(Peer);
  if (!IsServed) {
    Clock_.scheduleAfter(FetchTimeout, [=, this] {
      deliver(Index, Process, [=, this] {
        Instances_[Index].Fleet_->handleSectionsUnavailable(
            Action.PeerAddress_);
      });
    });
    return;
  }
  const SectionReply Reply =
      Instances_[Peer].Fleet_->serveSections(Action.Request_);
  const std::uint64_t Bytes = sectionTransferBytes(Action.Request_, Reply);
  Instances_[Index].Traffic_.BulkBytes_ += Bytes;
  Instances_[Peer].Traffic_.BulkBytes_ += Bytes;
  Clock_.scheduleAfter(2 * Faults_.Delay_, [=, this] {
    deliver(Index, Process, [=, this] {
      run(Index, [&](Fleet &Self, framework::Moment Now, OutputList &Output) {
        Self.handleSections(Action.PeerAddress_, Reply, Now, Output);
      });
    });
  });
}

void SimulatedFleet::execute(std::size_t Index, const DocumentApplied &Action) {
  SimulatedInstance &Item = Instances_[Index];
  if (Action.Revision_ <= Item.HighestRevision_)
    Item.HasRevisionRegressed_ = true;
  Item.HighestRevision_ = std::max(Item.HighestRevision_, Action.Revision_);
}

void SimulatedFleet::execute(std::size_t Index, const KeyDecided &Action) {
  Instances_[Index].Decisions_[Action.Call_] = Action;
}

void SimulatedFleet::execute(std::size_t Index,
                             const TargetReportedWarm &Action) {
  Instances_[Index].ReportedWarm_.insert(Action.Target_);
}

void SimulatedFleet::execute(std::size_t Index,
                             const TargetReportedCold &Action) {
  Instances_[Index].ReportedCold_.insert(Action.Target_);
}

} // namespace cranberryspool::fleet
