#include "entry/internal/endingstatus.h"

namespace cranberryspool::entry {

using calls::Ending;
using calls::EndingReason;

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned NotImplemented = 501;
constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned VersionNotSupported = 505;

unsigned notRunStatus(EndingReason Reason) {
  switch (Reason) {
  case EndingReason::NoSuchKind:
    return NotFound;
  case EndingReason::KeyInvalid:
    return BadRequest;
  case EndingReason::KeyInProgress:
    return Conflict;
  case EndingReason::Unauthenticated:
    return Unauthorized;
  case EndingReason::Shed:
  case EndingReason::OverQuota:
    return TooManyRequests;
  default:
    return ServiceUnavailable;
  }
}

} // namespace

unsigned statusOf(Ending Ending, EndingReason Reason) {
  switch (Ending) {
  case Ending::Answered:
  case Ending::Unknown:
    return BadGateway;
  case Ending::NotRun:
    return notRunStatus(Reason);
  case Ending::DeadlinePassed:
    return GatewayTimeout;
  }
  return BadGateway;
}

std::string_view nameOf(RequestHeadError Error) {
  switch (Error) {
  case RequestHeadError::RequestLine:
    return "bad-request-line";
  case RequestHeadError::Method:
    return "unsupported-method";
  case RequestHeadError::RequestTarget:
    return "bad-request-target";
  case RequestHeadError::Version:
    return "unsupported-version";
  case RequestHeadError::LineEnding:
    return "bad-line-ending";
  case RequestHeadError::FoldedField:
    return "folded-field";
  case RequestHeadError::FieldName:
    return "bad-field-name";
  case RequestHeadError::FieldValue:
    return "bad-field-value";
  case RequestHeadError::BothLengths:
    return "both-lengths";
  case RequestHeadError::RepeatedLength:
    return "repeated-length";
  case RequestHeadError::BadLength:
    return "bad-length";
  case RequestHeadError::TransferCoding:
    return "bad-transfer-coding";
  case RequestHeadError::Host:
    return "bad-host";
  case RequestHeadError::Timeout:
    return "bad-timeout";
  case RequestHeadError::Key:
    return "bad-key";
  case RequestHeadError::Depth:
    return "bad-depth";
  case RequestHeadError::Attempt:
    return "bad-attempt";
  }
  return "bad-request";
}

unsigned statusOf(RequestHeadError Error) {
  if (Error == RequestHeadError::Method)
    return NotImplemented;
  if (Error == RequestHeadError::Version)
    return VersionNotSupported;
  return BadRequest;
}

} // namespace cranberryspool::entry
