#include "calls/endingnames.h"

namespace cranberryspool::calls {

std::string_view nameOf(Ending End) {
  switch (End) {
  case Ending::Answered:
    return "answered";
  case Ending::NotRun:
    return "not-run";
  case Ending::Unknown:
    return "unknown";
  case Ending::DeadlinePassed:
    return "deadline";
  }
  return "unknown";
}

std::string_view nameOf(EndingReason Reason) {
  switch (Reason) {
  case EndingReason::None:
    return "none";
  case EndingReason::NoSuchKind:
    return "no-such-kind";
  case EndingReason::NoTarget:
    return "no-target";
  case EndingReason::QueueFull:
    return "queue-full";
  case EndingReason::DeadlineTooShort:
    return "deadline-too-short";
  case EndingReason::DeadlinePassed:
    return "deadline-passed";
  case EndingReason::Overloaded:
    return "overloaded";
  case EndingReason::Shed:
    return "shed";
  case EndingReason::ConnectFailed:
    return "connect-failed";
  case EndingReason::ConnectionLost:
    return "connection-lost";
  case EndingReason::ConnectionSilent:
    return "connection-silent";
  case EndingReason::AnswerTruncated:
    return "answer-truncated";
  case EndingReason::AnswerMismatched:
    return "answer-mismatched";
  case EndingReason::ViewTooOld:
    return "view-too-old";
  case EndingReason::InstanceStopping:
    return "instance-stopping";
  case EndingReason::KeyInvalid:
    return "key-invalid";
  case EndingReason::KeyInProgress:
    return "key-in-progress";
  case EndingReason::KeyTooOld:
    return "key-too-old";
  case EndingReason::KeyHomeUnreachable:
    return "key-home-unreachable";
  case EndingReason::KeyAnswerGone:
    return "key-answer-gone";
  case EndingReason::RetriesExhausted:
    return "retries-exhausted";
  case EndingReason::RequestQuarantined:
    return "request-quarantined";
  case EndingReason::TargetsUnreachable:
    return "targets-unreachable";
  case EndingReason::ForwarderUnknown:
    return "forwarder-unknown";
  case EndingReason::CallerGone:
    return "caller-gone";
  case EndingReason::Unauthenticated:
    return "unauthenticated";
  case EndingReason::AccessUnconfirmed:
    return "access-unconfirmed";
  case EndingReason::OverQuota:
    return "over-quota";
  }
  return "none";
}

} // namespace cranberryspool::calls
