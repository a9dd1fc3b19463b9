// Health checks of targets and the exchange of load reports.

#include "fleet/internal/seeded/seededfleet.h"

#include <algorithm>

namespace cranberryspool::fleet {

namespace {

using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;

/// The time after its start within which an instance does not know yet which
/// targets its peer group probes.
constexpr Duration StartupProbeDelay = milliseconds(400);
/// The interval at which the responsible instance of a target's zone probes it.
/// The platform allows 60 probes per second and target; most of them are left
/// for instances that take over the probing.
constexpr Duration MinProbeInterval = milliseconds(90);
/// The responsible instance of a peer group probes a target of its zone when no
/// health report arrived for the first of these times, the other instances of
/// the group after the second.
constexpr Duration ResponsibleHealthTimeout = milliseconds(500);
constexpr Duration BackupHealthTimeout = milliseconds(1000);
/// Targets of other zones are probed at this interval, and only when no health
/// report arrived within the timeout. Usually their own zones report their
/// health, which costs a fraction of the bytes. The timeout is the time of all
/// hops of a report, besides the interval at which its zone sends them.
constexpr Duration CrossZoneProbeInterval = milliseconds(500);
constexpr Duration CrossZoneHealthTimeout = milliseconds(700);
constexpr Duration MinCrossZoneUpdateInterval = milliseconds(150);
/// Each target reported to other zones delays the next update to them by this
/// much: a zone with many targets depends less on those of other zones.
constexpr Duration CrossZoneUpdateDelayPerTarget = milliseconds(4);
/// The interval at which health reports are sent to the zone's other groups.
constexpr Duration OtherGroupsUpdateInterval = milliseconds(200);
/// An update is sent to the peer group at least this often, as a heartbeat.
constexpr Duration HeartbeatInterval = milliseconds(200);

/// Returns the time between two updates to other zones with so many reports.
Duration crossZoneUpdateInterval(std::size_t Reports) {
  return std::max(MinCrossZoneUpdateInterval,
                  CrossZoneUpdateDelayPerTarget *
                      static_cast<Duration::rep>(Reports));
}

} // namespace

bool SeededFleet::mayProbe(const framework::TargetName &Target,
                           Duration Interval, Instant Now) const {
  // Each instance that probes a target opens a connection to it, which would be
  // too many when all instances of a large fleet start at once.
  if (Now < StartedAt_ + StartupProbeDelay)
    return false;
  const Duration SinceOwnProbe = Loads_.probeAge(Target, Now);
  if (SinceOwnProbe < std::max(Interval, MinProbeInterval))
    return false;
  // Reports of targets that are probed less often arrive later.
  const Duration Slack = std::max(Interval - MinProbeInterval, Duration{});
  const framework::InstanceName &Self = Membership_.self().Name_;
  if (!isInOwnZone(Target))
    return isDiscoveryComplete(Now) &&
           SinceOwnProbe >= CrossZoneProbeInterval &&
           Loads_.healthAge(Target, Now) >=
               crossZoneHealthTimeout(Target) + Slack &&
           Group_.isResponsibleInGroup(Target.value(), Self, Now);
  if (Group_.isResponsibleInZone(Target.value(), Self, Now))
    return isDiscoveryComplete(Now) || SinceOwnProbe >= DiscoveryTime;
  // Without a health report the timeout starts once discovery is complete and
  // the group has stopped changing: before that the instances of a group rarely
  // probe, and in a new group reports take a while to arrive.
  const Instant ListeningSince =
      std::max(GroupChangedAt_, StartedAt_ + DiscoveryTime);
  const Duration SinceHealthReport = std::min(
      {Loads_.healthAge(Target, Now), Now - ListeningSince, SinceOwnProbe});
  if (SinceHealthReport < ResponsibleHealthTimeout + Slack)
    return false;
  return SinceHealthReport >= BackupHealthTimeout + Slack ||
         Group_.isResponsibleInGroup(Target.value(), Self, Now);
}

Duration
SeededFleet::crossZoneHealthTimeout(const framework::TargetName &Target) const {
  const framework::ZoneName *Zone = view().zoneOf(Target);
  const std::size_t Targets = Zone ? view().countTargets(*Zone) : 0;
  return CrossZoneHealthTimeout + crossZoneUpdateInterval(Targets);
}

void SeededFleet::recordProbe(const framework::TargetName &Target,
                              Instant Now) {
  Loads_.recordProbe(Target, Now);
}

void SeededFleet::sendLoads(const EventContext &Context) {
  const Instant Now = Context.Now_;
  if (Loads_.hasQueued(LoadRecipients::OwnGroup) || Now >= NextGroupUpdateAt_) {
    NextGroupUpdateAt_ = Now + HeartbeatInterval;
    // An update without reports serves as a heartbeat.
    std::vector<LoadUpdate> Updates =
        takeLoadUpdates(LoadRecipients::OwnGroup, Now);
    if (Updates.empty())
      Updates.push_back(makeLoadUpdate());
    for (const LoadUpdate &Update : Updates)
      Context.sendToGroup(Update);
  }
  if (Now >= NextOtherGroupsUpdateAt_) {
    NextOtherGroupsUpdateAt_ = Now + OtherGroupsUpdateInterval;
    for (const LoadUpdate &Update :
         takeLoadUpdates(LoadRecipients::OtherGroups, Now))
      Context.sendTo(Group_.groupRelays(), Update);
  }
  if (Now >= NextOtherZonesUpdateAt_ && Context.isZoneLeader()) {
    std::size_t SentReports = 0;
    for (const LoadUpdate &Update :
         takeLoadUpdates(LoadRecipients::OtherZones, Now)) {
      Context.sendTo(Group_.zoneRelays(), Update);
      SentReports += Update.Loads_.size();
    }
    NextOtherZonesUpdateAt_ = Now + crossZoneUpdateInterval(SentReports);
  }
}

LoadUpdate SeededFleet::makeLoadUpdate() const {
  LoadUpdate Update;
  Update.From_ = Membership_.self().Name_;
  Update.Incarnation_ = Membership_.self().Incarnation_;
  return Update;
}

std::vector<LoadUpdate> SeededFleet::takeLoadUpdates(LoadRecipients Recipients,
                                                     Instant Now) {
  std::vector<LoadUpdate> Updates;
  for (auto &Batch : Loads_.takeQueued(Recipients, Now)) {
    Updates.push_back(makeLoadUpdate());
    Updates.back().Loads_ = std::move(Batch);
  }
  return Updates;
}

void SeededFleet::handle(const LoadUpdate &Message, framework::Moment Now,
                         OutputList &Output) {
  const Instant MonotonicNow = Now.Monotonic_;
  if (!checkSender(Message.From_, Message.Incarnation_, "load reports",
                   MonotonicNow, Output))
    return;
  Membership_.recordActivity(Message.From_, Message.Incarnation_, MonotonicNow);
  Group_.recordActivity(Message.From_, MonotonicNow);
  for (const TargetLoad &Each : Message.Loads_) {
    Loads_.recordForwarded(Each, MonotonicNow);
    Output.push_back(
        LoadReceived{Each.Target_, Each.Report_, MonotonicNow - Each.Age_});
  }
  forward(Message, makeContext(Now, Output));
}

void SeededFleet::forward(const LoadUpdate &Message,
                          const EventContext &Context) {
  const bool IsFromGroup = Group_.isInGroup(Message.From_);
  const bool IsFromOwnZone = Group_.isInZone(Message.From_);
  for (const TargetLoad &Each : Message.Loads_) {
    // Any instance of any zone may be the only one to hear of a limit.
    const bool IsLimitNews =
        Loads_.recordLimit(Each.Target_, Each.Report_, Context.Now_);
    if (!Each.Report_.WarmupLeft_ && !IsLimitNews)
      continue;
    if (IsFromOwnZone && (IsLimitNews || isInOwnZone(Each.Target_)))
      Loads_.enqueue(LoadRecipients::OtherZones, Each, Context.Now_);
    if (IsFromOwnZone && !IsFromGroup && Context.isGroupLeader())
      Loads_.enqueue(LoadRecipients::OwnGroup, Each, Context.Now_);
    if (IsFromOwnZone || !Context.isZoneLeader())
      continue;
    Loads_.enqueue(LoadRecipients::OwnGroup, Each, Context.Now_);
    Loads_.enqueue(LoadRecipients::OtherGroups, Each, Context.Now_);
  }
}

void SeededFleet::recordLoad(const framework::TargetName &Target,
                             const routing::LoadReport &Report, Instant Now) {
  Loads_.recordOwn(Target, Report, Now);
  const bool IsLimitNews = Loads_.recordLimit(Target, Report, Now);
  const bool IsOwnHealth = Report.WarmupLeft_ && isInOwnZone(Target);
  if (!IsOwnHealth && !IsLimitNews)
    return;
  const TargetLoad Load{Target, Report, Duration{}};
  Loads_.enqueue(LoadRecipients::OtherGroups, Load, Now);
  Loads_.enqueue(LoadRecipients::OtherZones, Load, Now);
}

bool SeededFleet::isInOwnZone(const framework::TargetName &Target) const {
  const framework::ZoneName *Zone = view().zoneOf(Target);
  return !Zone || *Zone == Membership_.self().Zone_;
}

} // namespace cranberryspool::fleet
