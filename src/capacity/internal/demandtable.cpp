#include "capacity/demandtable.h"

#include <utility>

namespace cranberryspool::capacity {

std::optional<std::string> DemandTable::record(const DemandUpdate &Update,
                                               framework::Instant Now) {
  if (Update.Services_.size() > DemandUpdate::MaxServices)
    return std::to_string(Update.Services_.size()) +
           " services in one demand update";
  std::map<framework::ServiceName, std::uint32_t> Calls;
  for (const ServiceDemand &Each : Update.Services_) {
    if (Each.Calls_ > MaxCalls)
      return "a demand of " + std::to_string(Each.Calls_) + " calls";
    if (!Calls.emplace(Each.Service_, Each.Calls_).second)
      return "a service twice in one demand update";
  }
  const auto Found = Peers_.find(Update.From_);
  if (Found != Peers_.end() &&
      std::pair(Update.Incarnation_, Update.Sequence_) <=
          std::pair(Found->second.Incarnation_, Found->second.Sequence_))
    return std::nullopt;
  Peers_[Update.From_] =
      PeerDemand{Update.Incarnation_, Update.Sequence_, std::move(Calls), Now};
  return std::nullopt;
}

std::optional<std::uint32_t>
DemandTable::demand(const framework::InstanceName &Peer,
                    const framework::ServiceName &Service,
                    framework::Instant Now) const {
  const auto Found = Peers_.find(Peer);
  if (Found == Peers_.end() || Now - Found->second.ReceivedAt_ > Lifetime)
    return std::nullopt;
  const auto Calls = Found->second.Calls_.find(Service);
  return Calls == Found->second.Calls_.end() ? 0 : Calls->second;
}

void DemandTable::expire(framework::Instant Now) {
  std::erase_if(Peers_, [Now](const auto &Each) {
    return Now - Each.second.ReceivedAt_ > Lifetime;
  });
}

} // namespace cranberryspool::capacity
