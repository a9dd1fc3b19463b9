#include "session/types/sessionerror.h"

namespace cranberryspool::session {

namespace {

std::string textOf(SessionFault Fault) {
  switch (Fault) {
  case SessionFault::NotJson:
    return "not JSON";
  case SessionFault::NotAnObject:
    return "not an object";
  case SessionFault::BadMember:
    return "a member is missing or of the wrong type";
  case SessionFault::UnknownKind:
    return "unknown kind of line";
  case SessionFault::GoesBack:
    return "the time goes back";
  case SessionFault::BadEnvironment:
    break;
  }
  return "the environment is not valid";
}

} // namespace

std::string formatSessionError(const SessionError &Failure) {
  std::string Line =
      "line " + std::to_string(Failure.Line_) + ": " + textOf(Failure.Fault_);
  if (!Failure.Name_.empty())
    Line += " (" + Failure.Name_ + ")";
  return Line;
}

} // namespace cranberryspool::session
