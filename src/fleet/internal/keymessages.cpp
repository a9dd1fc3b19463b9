#include "fleet/internal/fleetstate.h"
#include "fleet/internal/rendezvous.h"

#include <utility>

namespace cranberryspool::fleet {

bool FleetState::isKeyHome(const framework::IdempotencyKey &Key) const {
  const document::PublishedInstance *Home =
      findHome(Key.value(), Instances_.members());
  return Home && Home->Name_ == Settings_.Self_;
}

void FleetState::handle(const KeyRequest &Message, framework::Moment Now,
                        OutputList &Output) {
  if (!isKeyHome(Message.Key_) || Peers_.isSuperseded())
    return;
  const std::string Address =
      Instances_.addressOf(Message.From_, Message.Address_);
  if (auto Reply = KeyHome_.decide(Message, Peers_, Now))
    Output.push_back(SendMessage{Address, std::move(*Reply)});
}

void FleetState::handle(const KeyReply &Message, framework::Moment Now,
                        OutputList &Output) {
  KeyRunner_.noteReply(Message, Instances_, Now, Output);
}

void FleetState::handle(const KeyEnded &Message, framework::Moment Now,
                        OutputList &Output) {
  if (!isKeyHome(Message.Key_))
    return;
  KeyHome_.noteEnded(Message, Now);
  Output.push_back(
      SendMessage{Instances_.addressOf(Message.From_, Message.Address_),
                  KeyEndedAck{Message.Incarnation_, Message.Call_}});
}

void FleetState::handle(const KeyEndedAck &Message, framework::Moment,
                        OutputList &) {
  KeyRunner_.noteEndedAck(Message);
}

void FleetState::handle(const KeyHandover &Message, framework::Moment,
                        OutputList &Output) {
  KeyHandover Published = Message;
  Published.Address_ = Instances_.addressOf(Message.From_, Message.Address_);
  KeyHome_.receive(Published, Output);
}

void FleetState::handle(const KeyHandoverAck &Message, framework::Moment,
                        OutputList &) {
  KeyHome_.noteAck(Message);
}

void FleetState::requestKey(framework::CallId Call,
                            const framework::IdempotencyKey &Key,
                            framework::Moment Now, OutputList &Output) {
  KeyRunner_.request(Call, Key, Instances_, KeyHome_, Peers_, Now, Output);
}

void FleetState::handleKeyedCallEnd(framework::CallId Call,
                                    calls::Ending Ending, bool IsAnswerKept,
                                    framework::Moment Now, OutputList &Output) {
  KeyRunner_.noteEnded(Call, Ending, IsAnswerKept, Now);
  KeyRunner_.tick(Instances_, KeyHome_, Peers_, Now, Output);
}

} // namespace cranberryspool::fleet
