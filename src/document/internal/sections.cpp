#include "document/sections.h"

#include "document/types/environmentdocument.h"
#include "framework/units.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace cranberryspool::document {

namespace {

namespace json = boost::json;

constexpr std::string_view CommonName = "common";
constexpr std::string_view ServicePrefix = "service/";

std::string_view urgencyText(Urgency Value) {
  return Value == Urgency::Urgent ? "urgent" : "ordinary";
}

json::value text(std::string_view Value) {
  return json::string(Value.data(), Value.size());
}

json::value text(framework::Duration Value) {
  return text(framework::durationText(Value));
}

json::array zonesOf(const EnvironmentDocument &Document) {
  json::array Zones;
  for (const Zone &Each : Document.Zones_)
    Zones.push_back(
        {{"name", text(Each.Name_.value())},
         {"state", text(Each.State_ == ZoneState::InService ? "in" : "out")}});
  return Zones;
}

json::array groupsOf(const Service &Owner) {
  json::array Groups;
  for (const TargetGroup &Each : Owner.Groups_)
    Groups.push_back({{"name", text(Each.Name_.value())},
                      {"zone", text(Each.Zone_.value())}});
  return Groups;
}

json::array kindsOf(const Service &Owner) {
  json::array Kinds;
  for (const RequestKind &Each : Owner.Kinds_)
    Kinds.push_back({{"name", text(Each.Name_.value())},
                     {"method", text(Each.Method_)},
                     {"path", text(Each.PathPattern_)},
                     {"idempotent", Each.IsIdempotent_},
                     {"urgency", text(urgencyText(Each.Urgency_))},
                     {"deadline", text(Each.Deadline_)},
                     {"hedging", Each.IsHedgingAllowed_}});
  return Kinds;
}

json::array objectivesOf(const Service &Owner) {
  json::array Objectives;
  for (const Objective &Each : Owner.Objectives_)
    Objectives.push_back(
        {{"urgency", text(urgencyText(Each.Urgency_))},
         {"latency", text(Each.Latency_)},
         {"good", text(framework::shareText(Each.GoodPerMillion_))}});
  return Objectives;
}

json::object serviceObject(const Service &Owner) {
  return {{"name", text(Owner.Name_.value())},
          {"slots-per-target", Owner.SlotsPerTarget_},
          {"connections-per-target", Owner.ConnectionsPerTarget_},
          {"probes-per-target-per-minute", Owner.ProbesPerTargetPerMinute_},
          {"cold-start",
           {{"max-in-flight", Owner.ColdStart_.MaxInFlight_},
            {"warmup", text(Owner.ColdStart_.Warmup_)}}},
          {"groups", groupsOf(Owner)},
          {"kinds", kindsOf(Owner)},
          {"objectives", objectivesOf(Owner)}};
}

DocumentSection section(std::string Name, const json::object &Content) {
  std::string Text = json::serialize(Content);
  const framework::Digest Digest = sectionDigest(Text);
  return {std::move(Name), Digest, std::move(Text)};
}

} // namespace

std::vector<DocumentSection>
splitDocument(const EnvironmentDocument &Document) {
  std::vector<DocumentSection> Sections;
  Sections.push_back(section(std::string(CommonName),
                             {{"max-instances", Document.MaxInstances_},
                              {"list-lag", text(Document.ListLag_)},
                              {"zones", zonesOf(Document)}}));
  for (const Service &Each : Document.Services_)
    Sections.push_back(section(std::string(ServicePrefix) + Each.Name_.value(),
                               serviceObject(Each)));
  std::sort(Sections.begin(), Sections.end(),
            [](const DocumentSection &Left, const DocumentSection &Right) {
              return Left.Name_ < Right.Name_;
            });
  return Sections;
}

std::string joinSections(const std::vector<DocumentSection> &Sections) {
  std::string Common = "{}";
  std::string Services;
  for (const DocumentSection &Each : Sections) {
    if (Each.Name_ == CommonName) {
      Common = Each.Text_;
      continue;
    }
    if (!Services.empty())
      Services += ",";
    Services += Each.Text_;
  }
  if (Common.ends_with('}'))
    Common.pop_back();
  return Common + ",\"services\":[" + Services + "]}";
}

framework::Digest
digestOfSections(const std::vector<DocumentSection> &Sections) {
  std::string Manifest;
  for (const DocumentSection &Each : Sections)
    Manifest += Each.Name_ + "=" + digestText(Each.Digest_) + "\n";
  return sectionDigest(Manifest);
}

framework::Digest documentDigest(const EnvironmentDocument &Document) {
  return digestOfSections(splitDocument(Document));
}

framework::Digest sectionDigest(std::string_view Text) {
  return framework::Digest(XXH3_64bits(Text.data(), Text.size()));
}

std::string digestText(framework::Digest Value) {
  char Digits[17];
  std::snprintf(Digits, sizeof(Digits), "%016llx",
                static_cast<unsigned long long>(Value.value()));
  return Digits;
}

} // namespace cranberryspool::document
