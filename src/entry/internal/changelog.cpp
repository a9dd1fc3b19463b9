#include "entry/internal/changelog.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <log4cplus/loggingmacros.h>

namespace cranberryspool::entry {

using decision::ChangeKind;

namespace {

std::string_view nameOf(ChangeKind Kind) {
  switch (Kind) {
  case ChangeKind::DocumentInForce:
    return "document-in-force";
  case ChangeKind::DocumentRejected:
    return "document-rejected";
  case ChangeKind::DocumentOlderIgnored:
    return "document-older-ignored";
  case ChangeKind::RecordRejected:
    return "record-rejected";
  case ChangeKind::TargetEjected:
    return "target-ejected";
  case ChangeKind::TargetRestored:
    return "target-restored";
  case ChangeKind::TargetCold:
    return "target-cold";
  case ChangeKind::TargetWarm:
    return "target-warm";
  case ChangeKind::TargetLeaving:
    return "target-leaving";
  case ChangeKind::ZoneOut:
    return "zone-out";
  case ChangeKind::ZoneIn:
    return "zone-in";
  case ChangeKind::PeerJoined:
    return "peer-joined";
  case ChangeKind::PeerLost:
    return "peer-lost";
  case ChangeKind::ViewLost:
    return "view-lost";
  case ChangeKind::ViewRestored:
    return "view-restored";
  case ChangeKind::PauseDetected:
    return "pause-detected";
  case ChangeKind::StopStarted:
    return "stop-started";
  case ChangeKind::StopFinished:
    return "stop-finished";
  }
  return "other";
}

bool isWarning(ChangeKind Kind) {
  return Kind == ChangeKind::DocumentRejected || Kind == ChangeKind::ViewLost ||
         Kind == ChangeKind::PauseDetected;
}

/// Quoted, so that no subject can look like another field or line.
std::string quoted(std::string_view Text) {
  return boost::json::serialize(
      boost::json::string_view(Text.data(), Text.size()));
}

} // namespace

ChangeLog::ChangeLog(const framework::InstanceName &Instance)
    : Instance_(Instance.value()),
      Logger_(log4cplus::Logger::getInstance(
          LOG4CPLUS_TEXT("cranberryspool.changes"))) {}

void ChangeLog::note(ChangeKind Kind, const std::string &Subject) const {
  const std::string Line = line(nameOf(Kind), Subject);
  if (isWarning(Kind))
    LOG4CPLUS_WARN(Logger_, Line);
  else
    LOG4CPLUS_INFO(Logger_, Line);
}

void ChangeLog::noteDutyFailed(const std::string &Duty,
                               const char *Reason) const {
  LOG4CPLUS_ERROR(Logger_,
                  line("duty-failed", Duty) + " reason=" + quoted(Reason));
}

void ChangeLog::noteGivenUp(const std::string &Duty) const {
  LOG4CPLUS_FATAL(Logger_, line("gave-up", Duty));
}

std::string ChangeLog::line(std::string_view Event,
                            std::string_view Subject) const {
  return "instance=" + Instance_ + " event=" + std::string(Event) +
         " subject=" + quoted(Subject);
}

} // namespace cranberryspool::entry
