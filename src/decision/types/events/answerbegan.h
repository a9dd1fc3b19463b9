#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ANSWERBEGAN_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ANSWERBEGAN_H

#include "framework/ids.h"

namespace cranberryspool::decision {

/// The first byte of an answer was received on the connection of an attempt.
struct AnswerBegan {
  framework::AttemptId Attempt_;
  framework::ConnectionId Connection_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_ANSWERBEGAN_H
