#include "entry/internal/endingstatus.h"

namespace cranberryspool::entry {

using calls::Ending;
using calls::EndingReason;

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned NotImplemented = 501;
constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned VersionNotSupported = 505;

unsigned statusOfNotRun(EndingReason Reason) {
  switch (Reason) {
  case EndingReason::NoSuchKind:
    return NotFound;
  case EndingReason::KeyInvalid:
    return BadRequest;
  case EndingReason::KeyInProgress:
    return Conflict;
  case EndingReason::Shed:
    return TooManyRequests;
  default:
    return ServiceUnavailable;
  }
}

} // namespace

unsigned statusOf(Ending End, EndingReason Reason) {
  switch (End) {
  case Ending::Answered:
  case Ending::Unknown:
    return BadGateway;
  case Ending::NotRun:
    return statusOfNotRun(Reason);
  case Ending::DeadlinePassed:
    return GatewayTimeout;
  }
  return BadGateway;
}

std::string_view nameOf(HeadFault Fault) {
  switch (Fault) {
  case HeadFault::RequestLine:
    return "bad-request-line";
  case HeadFault::Method:
    return "unsupported-method";
  case HeadFault::RequestTarget:
    return "bad-request-target";
  case HeadFault::Version:
    return "unsupported-version";
  case HeadFault::LineEnding:
    return "bad-line-ending";
  case HeadFault::FoldedField:
    return "folded-field";
  case HeadFault::FieldName:
    return "bad-field-name";
  case HeadFault::FieldValue:
    return "bad-field-value";
  case HeadFault::BothLengths:
    return "both-lengths";
  case HeadFault::RepeatedLength:
    return "repeated-length";
  case HeadFault::BadLength:
    return "bad-length";
  case HeadFault::TransferCoding:
    return "bad-transfer-coding";
  case HeadFault::Host:
    return "bad-host";
  case HeadFault::Timeout:
    return "bad-timeout";
  case HeadFault::Key:
    return "bad-key";
  case HeadFault::Depth:
    return "bad-depth";
  case HeadFault::Attempt:
    return "bad-attempt";
  }
  return "bad-request";
}

unsigned statusOf(HeadFault Fault) {
  if (Fault == HeadFault::Method)
    return NotImplemented;
  if (Fault == HeadFault::Version)
    return VersionNotSupported;
  return BadRequest;
}

} // namespace cranberryspool::entry
