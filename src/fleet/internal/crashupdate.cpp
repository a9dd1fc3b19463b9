#include "fleet/types/crashupdate.h"

#include "calls/requestquarantine.h"

#include <utility>

namespace cranberryspool::fleet {

std::vector<CrashUpdate> makeCrashUpdates(const framework::InstanceName &From,
                                          framework::Incarnation Incarnation,
                                          std::vector<CrashNotice> Notices) {
  std::vector<CrashUpdate> Updates;
  for (CrashNotice &Each : Notices) {
    if (Updates.empty() ||
        Updates.back().Notices_.size() == CrashUpdate::MaxNotices)
      Updates.push_back({From, Incarnation, {}});
    Updates.back().Notices_.push_back(std::move(Each));
  }
  return Updates;
}

std::optional<std::string>
findCrashUpdateFault(const CrashUpdate &Message,
                     std::optional<framework::Incarnation> SenderIncarnation) {
  if (SenderIncarnation != Message.Incarnation_)
    return "crash notices from an unknown instance";
  if (Message.Notices_.size() > CrashUpdate::MaxNotices)
    return std::to_string(Message.Notices_.size()) +
           " crash notices in one message";
  for (const CrashNotice &Each : Message.Notices_)
    if (Each.Crashes_.size() > calls::RequestQuarantine::CrashLimit)
      return std::to_string(Each.Crashes_.size()) +
             " crashes in one crash notice";
  return std::nullopt;
}

} // namespace cranberryspool::fleet
