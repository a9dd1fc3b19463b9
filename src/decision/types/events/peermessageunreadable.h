#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGEUNREADABLE_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGEUNREADABLE_H

#include "fleet/types/decodefailure.h"

namespace cranberryspool::decision {

/// A datagram from another instance could not be decoded.
struct PeerMessageUnreadable {
  fleet::DecodeFailure Failure_ = fleet::DecodeFailure::MalformedCbor;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_PEERMESSAGEUNREADABLE_H
