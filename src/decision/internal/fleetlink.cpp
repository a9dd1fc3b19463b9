#include "decision/internal/fleetlink.h"

#include "document/parsedocument.h"

namespace cranberryspool::decision {

void FleetLink::start(const Step &At) {
  At.Output_.push_back(ReadDocument{});
  At.Output_.push_back(ReadInstances{});
}

void FleetLink::handle(const Step &At, const DocumentPublished &Input) {
  const bool IsNewer = !Document_ || *Document_ < Input.Revision_;
  const auto Parsed = document::parseDocument(Input.Text_);
  if (IsNewer && Parsed) {
    Document_ = Input.Revision_;
    Keeper_.setDocument(At, Parsed.value());
  }
  At.Output_.push_back(ReadDocument{Document_});
}

void FleetLink::handle(const Step &At, const InstancesPublished &Input) {
  if (!Instances_ || *Instances_ < Input.Revision_) {
    Instances_ = Input.Revision_;
    Keeper_.setInstances(At, Input.Instances_);
  }
  At.Output_.push_back(ReadInstances{Instances_});
}

bool FleetLink::mayAccept(framework::Instant) const {
  return Document_ && Instances_;
}

bool FleetLink::isViewFresh(framework::Instant Now) const {
  return mayAccept(Now);
}

} // namespace cranberryspool::decision
