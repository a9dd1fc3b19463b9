#include "fleet/internal/seeded/seededfleet.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The number of instances to which known crashes are repeated in each round.
constexpr std::size_t RandomRecipients = 2;

} // namespace

void SeededFleet::handle(const CrashUpdate &Message, framework::Moment Now,
                         OutputList &Output) {
  const auto Known = isTrusted(Message.From_, Message.Incarnation_)
                         ? std::optional(Message.Incarnation_)
                         : std::nullopt;
  if (const auto Fault = findCrashUpdateFault(Message, Known)) {
    Output.push_back(PeerMessageRejected{Message.From_.value(), *Fault});
    return;
  }
  Group_.recordActivity(Message.From_, Now.Monotonic_);
  Output.push_back(CrashNoticesReceived{Message.From_, Message.Notices_});
}

std::vector<std::string> SeededFleet::chooseMembers(std::size_t Count) {
  std::vector<std::string> Addresses;
  for (const auto &[Name, State] : Membership_.members())
    if (!State.IsLost_)
      Addresses.push_back(State.Info_.Address_);
  while (Addresses.size() > Count)
    Addresses.erase(Addresses.begin() +
                    static_cast<std::ptrdiff_t>(Rng_.index(Addresses.size())));
  return Addresses;
}

std::vector<CrashUpdate>
SeededFleet::makeOwnCrashUpdates(std::vector<CrashNotice> Notices) const {
  return makeCrashUpdates(Membership_.self().Name_,
                          Membership_.self().Incarnation_, std::move(Notices));
}

void SeededFleet::sendCrashNotices(std::vector<CrashNotice> Notices,
                                   CrashNoticeRecipients Recipients,
                                   framework::Moment Now, OutputList &Output) {
  const EventContext Context = makeContext(Now, Output);
  const bool IsToAll = Recipients == CrashNoticeRecipients::All;
  const std::vector<std::string> Few =
      IsToAll ? std::vector<std::string>() : chooseMembers(RandomRecipients);
  for (const CrashUpdate &Update : makeOwnCrashUpdates(std::move(Notices))) {
    if (!IsToAll) {
      Context.sendTo(Few, Update);
      continue;
    }
    Context.sendToGroup(Update);
    Context.sendTo(Group_.groupRelays(), Update);
    Context.sendTo(Group_.zoneRelays(), Update);
  }
}

void SeededFleet::forwardCrashNotices(std::vector<CrashNotice> Notices,
                                      const framework::InstanceName &From,
                                      framework::Moment Now,
                                      OutputList &Output) {
  if (Group_.isInGroup(From))
    return;
  const EventContext Context = makeContext(Now, Output);
  const bool IsFromOwnZone = Group_.isInZone(From);
  for (const CrashUpdate &Update : makeOwnCrashUpdates(std::move(Notices))) {
    Context.sendToGroup(Update);
    if (!IsFromOwnZone)
      Context.sendTo(Group_.groupRelays(), Update);
  }
}

} // namespace cranberryspool::fleet
