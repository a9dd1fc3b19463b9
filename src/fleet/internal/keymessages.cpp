#include "fleet/internal/fleetstate.h"
#include "fleet/internal/rendezvous.h"

#include <utility>

namespace cranberryspool::fleet {

bool FleetState::isKeyOwner(const framework::IdempotencyKey &Key) const {
  const document::PublishedInstance *Owner =
      findOwner(Key.value(), Instances_.members());
  return Owner && Owner->Name_ == Settings_.Self_;
}

void FleetState::handle(const KeyRequest &Message, framework::Moment Now,
                        OutputList &Output) {
  if (!isKeyOwner(Message.Key_) || Peers_.isSuperseded())
    return;
  const std::string Address =
      Instances_.addressOf(Message.From_, Message.Address_);
  if (auto Reply = KeyAdmission_.decide(Message, Peers_, Now))
    Output.push_back(SendMessage{Address, std::move(*Reply)});
}

void FleetState::handle(const KeyReply &Message, framework::Moment Now,
                        OutputList &Output) {
  KeyRequester_.handleReply(Message, Instances_, Now, Output);
}

void FleetState::handle(const KeyEnded &Message, framework::Moment Now,
                        OutputList &Output) {
  if (!isKeyOwner(Message.Key_))
    return;
  KeyAdmission_.handleCallEnd(Message, Now);
  Output.push_back(
      SendMessage{Instances_.addressOf(Message.From_, Message.Address_),
                  KeyEndedAck{Message.Incarnation_, Message.Call_}});
}

void FleetState::handle(const KeyEndedAck &Message, framework::Moment,
                        OutputList &) {
  KeyRequester_.handleEndedAck(Message);
}

void FleetState::handle(const KeyHandover &Message, framework::Moment,
                        OutputList &Output) {
  KeyHandover Published = Message;
  Published.Address_ = Instances_.addressOf(Message.From_, Message.Address_);
  KeyAdmission_.receive(Published, Output);
}

void FleetState::handle(const KeyHandoverAck &Message, framework::Moment,
                        OutputList &) {
  KeyAdmission_.handleAck(Message);
}

void FleetState::requestKey(framework::CallId Call,
                            const framework::IdempotencyKey &Key,
                            framework::Moment Now, OutputList &Output) {
  KeyRequester_.request(Call, Key, Instances_, KeyAdmission_, Peers_, Now,
                        Output);
}

void FleetState::handleKeyedCallEnd(framework::CallId Call,
                                    calls::Ending Ending, bool IsResponseStored,
                                    framework::Moment Now, OutputList &Output) {
  KeyRequester_.handleCallEnd(Call, Ending, IsResponseStored, Now);
  KeyRequester_.tick(Instances_, KeyAdmission_, Peers_, Now, Output);
}

} // namespace cranberryspool::fleet
