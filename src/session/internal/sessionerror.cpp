#include "session/types/sessionerror.h"

namespace cranberryspool::session {

namespace {

std::string describe(SessionErrorCode Code) {
  switch (Code) {
  case SessionErrorCode::InvalidJson:
    return "not valid JSON";
  case SessionErrorCode::NotAnObject:
    return "not a JSON object";
  case SessionErrorCode::InvalidMember:
    return "member missing or of the wrong type";
  case SessionErrorCode::UnknownDirective:
    return "unknown directive";
  case SessionErrorCode::TimeGoesBackwards:
    return "time is earlier than that of the preceding line";
  case SessionErrorCode::InvalidEnvironment:
    break;
  }
  return "invalid environment file";
}

} // namespace

std::string formatSessionError(const SessionError &Error) {
  std::string Line =
      "line " + std::to_string(Error.Line_) + ": " + describe(Error.Code_);
  if (!Error.Subject_.empty())
    Line += " (" + Error.Subject_ + ")";
  return Line;
}

} // namespace cranberryspool::session
