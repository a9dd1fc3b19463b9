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

json::string_view textOf(TargetCondition Condition) {
  switch (Condition) {
  case TargetCondition::In:
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

json::array targetsOf(const decision::CoreStatus &Status) {
  json::array Targets;
  for (const decision::TargetStatus &One : Status.Targets_)
    Targets.push_back(json::object{{"name", One.Target_.value()},
                                   {"service", One.Service_.value()},
                                   {"zone", One.Zone_.value()},
                                   {"state", textOf(One.Condition_)},
                                   {"in-flight", One.InFlight_},
                                   {"connections", One.Connections_}});
  return Targets;
}

json::array queuesOf(const decision::CoreStatus &Status) {
  json::array Queues;
  for (const decision::QueueStatus &One : Status.Queues_)
    Queues.push_back(json::object{{"service", One.Service_.value()},
                                  {"urgent", One.Urgent_},
                                  {"ordinary", One.Ordinary_}});
  return Queues;
}

json::string_view stateOf(const decision::PeerStatus &Peer) {
  if (Peer.IsLeaving_)
    return "leaving";
  return Peer.IsHeard_ ? "heard" : "silent";
}

json::array peersOf(const decision::CoreStatus &Status) {
  json::array Peers;
  for (const decision::PeerStatus &One : Status.Peers_)
    Peers.push_back(json::object{{"name", One.Peer_.value()},
                                 {"zone", One.Zone_.value()},
                                 {"state", stateOf(One)}});
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
      {"targets", targetsOf(Status)},
      {"queues", queuesOf(Status)},
      {"peers", peersOf(Status)},
      {"burn",
       report::burnInputToJson(
           {Statistics.objectives(), Statistics.burnCounters().buckets()})}});
}

} // namespace cranberryspool::entry
