#include "fleet/fleet.h"
#include "fleet/internal/fleetstate.h"

#include <utility>

namespace cranberryspool::fleet {

Fleet::Fleet(FleetSettings Settings, framework::Random Rng)
    : State_(std::make_unique<FleetState>(std::move(Settings), Rng)) {}

Fleet::Fleet(Fleet &&) noexcept = default;
Fleet &Fleet::operator=(Fleet &&) noexcept = default;
Fleet::~Fleet() = default;

void Fleet::start(framework::Moment Now, OutputList &Output) {
  State_->start(Now, Output);
}

void Fleet::tick(framework::Moment Now, OutputList &Output) {
  State_->tick(Now, Output);
}

framework::Instant Fleet::nextWakeUp() const { return State_->nextWakeUp(); }

void Fleet::noteDocument(framework::Revision Revision, const std::string &Text,
                         framework::Moment Now, OutputList &Output) {
  State_->noteDocument(Revision, Text, Now, Output);
}

void Fleet::noteInstances(
    framework::Revision Revision,
    const std::vector<document::PublishedInstance> &Instances,
    framework::Moment Now, OutputList &Output) {
  State_->noteInstances(Revision, Instances, Now, Output);
}

void Fleet::noteUnchanged(SectionKind Kind, framework::Moment Now,
                          OutputList &Output) {
  State_->noteUnchanged(Kind, Now, Output);
}

void Fleet::noteUnavailable(SectionKind Kind, framework::Moment Now,
                            OutputList &Output) {
  State_->noteUnavailable(Kind, Now, Output);
}

void Fleet::notePeerMessage(const PeerMessage &Message, framework::Moment Now,
                            OutputList &Output) {
  std::visit([&](const auto &Item) { State_->handle(Item, Now, Output); },
             Message);
}

void Fleet::noteSections(const std::string &PeerAddress,
                         const SectionReply &Reply, framework::Moment Now,
                         OutputList &Output) {
  State_->noteSections(PeerAddress, Reply, Now, Output);
}

void Fleet::noteSectionsUnavailable(const std::string &PeerAddress) {
  State_->noteSectionsUnavailable(PeerAddress);
}

SectionReply Fleet::serveSections(const SectionRequest &Request) const {
  if (Request.Kind_ == SectionKind::Document)
    return State_->documents().sections().reply(Request, documentRevision());
  return State_->instances().sections().reply(Request, listRevision());
}

void Fleet::noteStopRequested(framework::Moment Now, OutputList &Output) {
  State_->noteStopRequested();
  State_->tick(Now, Output);
}

bool Fleet::isHandoverDone() const { return State_->isHandoverDone(); }

void Fleet::notePause(framework::Moment Now, OutputList &Output) {
  State_->notePause(Now, Output);
}

void Fleet::noteTurnedCold(const framework::TargetName &Target,
                           framework::Incarnation StartId,
                           framework::Moment Now, OutputList &Output) {
  State_->noteTurnedCold(ColdNotice{Target, StartId}, Now, Output);
}

void Fleet::setWarm(const framework::TargetName &Target, bool IsWarm) {
  State_->setWarm(Target, IsWarm);
}

const document::EnvironmentDocument *Fleet::currentDocument() const {
  return State_->documents().current();
}

framework::Revision Fleet::documentRevision() const {
  return State_->documents().revision();
}

framework::Revision Fleet::listRevision() const {
  return State_->instances().revision();
}

const std::vector<document::PublishedInstance> &
Fleet::publishedTargets() const {
  return State_->instances().targets();
}

const std::vector<document::PublishedInstance> &Fleet::publishedPeers() const {
  return State_->instances().members();
}

bool Fleet::isViewFresh(framework::Instant Now) const {
  return State_->isViewFresh(Now);
}

std::uint32_t Fleet::coldShare(const framework::TargetName &Target,
                               framework::Instant Now) const {
  return State_->shares().coldShare(Target, Now);
}

std::uint32_t
Fleet::connectionShare(const framework::TargetName &Target) const {
  return State_->shares().connectionShare(Target);
}

bool Fleet::mayProbe(const framework::TargetName &Target,
                     framework::Instant Now) const {
  return State_->shares().mayProbe(Target, Now);
}

void Fleet::noteProbed(const framework::TargetName &Target,
                       framework::Instant Now) {
  State_->shares().noteProbed(Target, Now);
}

void Fleet::requestKey(framework::CallId Call,
                       const framework::IdempotencyKey &Key,
                       framework::Moment Now, OutputList &Output) {
  State_->requestKey(Call, Key, Now, Output);
}

void Fleet::noteKeyedCallEnded(framework::CallId Call, calls::Ending Ending,
                               bool IsAnswerKept, framework::Moment Now,
                               OutputList &Output) {
  State_->noteKeyedCallEnded(Call, Ending, IsAnswerKept, Now, Output);
}

} // namespace cranberryspool::fleet
