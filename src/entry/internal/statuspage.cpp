#include "entry/internal/statuspage.h"

#include "document/sections.h"
#include "entry/internal/callstatistics.h"
#include "report/burnjson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace cranberryspool::entry {

namespace json = boost::json;
using decision::TargetCondition;

namespace {

json::string_view conditionName(TargetCondition Condition) {
  switch (Condition) {
  case TargetCondition::InService:
    return "in";
  case TargetCondition::Cold:
    return "cold";
  case TargetCondition::Ejected:
    return "ejected";
  case TargetCondition::Leaving:
    return "leaving";
  }
  return "in";
}

json::array targetsArray(const decision::CoreStatus &Status) {
  json::array Targets;
  for (const decision::TargetStatus &Target : Status.Targets_)
    Targets.push_back(json::object{{"name", Target.Target_.value()},
                                   {"service", Target.Service_.value()},
                                   {"zone", Target.Zone_.value()},
                                   {"state", conditionName(Target.Condition_)},
                                   {"in-flight", Target.InFlight_},
                                   {"connections", Target.Connections_}});
  return Targets;
}

json::array queuesArray(const decision::CoreStatus &Status) {
  json::array Queues;
  for (const decision::QueueStatus &Queue : Status.Queues_)
    Queues.push_back(json::object{{"service", Queue.Service_.value()},
                                  {"urgent", Queue.Urgent_},
                                  {"ordinary", Queue.Ordinary_}});
  return Queues;
}

json::string_view peerState(const decision::PeerStatus &Peer) {
  if (Peer.IsLeaving_)
    return "leaving";
  return Peer.IsReachable_ ? "heard" : "silent";
}

json::array peersArray(const decision::CoreStatus &Status) {
  json::array Peers;
  for (const decision::PeerStatus &Peer : Status.Peers_)
    Peers.push_back(json::object{{"name", Peer.Peer_.value()},
                                 {"zone", Peer.Zone_.value()},
                                 {"state", peerState(Peer)}});
  return Peers;
}

} // namespace

std::string writeStatus(const framework::InstanceName &Name,
                        const framework::ZoneName &Zone,
                        const decision::CoreStatus &Status,
                        const CallStatistics &Statistics) {
  return json::serialize(json::object{
      {"instance", Name.value()},
      {"zone", Zone.value()},
      {"revision", Status.DocumentRevision_.value()},
      {"digest", document::digestText(Status.DocumentDigest_)},
      {"list-revision", Status.ListRevision_.value()},
      {"ready", Status.IsReady_},
      {"stopping", Status.IsStopping_},
      {"view-fresh", Status.IsViewFresh_},
      {"calls", Status.Calls_},
      {"attempts", Status.Attempts_},
      {"targets", targetsArray(Status)},
      {"queues", queuesArray(Status)},
      {"peers", peersArray(Status)},
      {"burn",
       report::burnInputToJson(
           {Statistics.objectives(), Statistics.burnCounters().buckets()})}});
}

} // namespace cranberryspool::entry
