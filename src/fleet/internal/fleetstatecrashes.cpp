#include "fleet/internal/fleetstate.h"

#include <utility>

namespace cranberryspool::fleet {

namespace {

/// The number of instances to which known crashes are repeated in each round.
constexpr std::size_t RandomRecipients = 2;

} // namespace

void FleetState::handle(const CrashUpdate &Message, framework::Moment,
                        OutputList &Output) {
  const PeerRecord *Sender = Peers_.find(Message.From_);
  const auto Known =
      Sender ? std::optional(Sender->Incarnation_) : std::nullopt;
  if (const auto Fault = findCrashUpdateFault(Message, Known)) {
    Output.push_back(PeerMessageRejected{Message.From_.value(), *Fault});
    return;
  }
  Output.push_back(CrashNoticesReceived{Message.From_, Message.Notices_});
}

void FleetState::sendCrashNotices(std::vector<CrashNotice> Notices,
                                  CrashNoticeRecipients Recipients,
                                  OutputList &Output) {
  std::vector<std::string> Addresses;
  for (const auto &[Name, Peer] : Peers_.records())
    if (Name != Settings_.Self_)
      Addresses.push_back(Peer.Address_);
  while (Recipients == CrashNoticeRecipients::RandomFew &&
         Addresses.size() > RandomRecipients)
    Addresses.erase(Addresses.begin() +
                    static_cast<std::ptrdiff_t>(Rng_.index(Addresses.size())));
  for (const CrashUpdate &Update : makeCrashUpdates(
           Settings_.Self_, Settings_.Incarnation_, std::move(Notices)))
    for (const std::string &Address : Addresses)
      Output.push_back(SendMessage{Address, Update});
}

} // namespace cranberryspool::fleet
