#include "document/sections.h"

#include "document/internal/workspacesection.h"
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

constexpr std::string_view CommonSectionName = "common";
constexpr std::string_view ServiceSectionPrefix = "service/";
constexpr std::string_view WorkspacesSectionName = "workspaces";

std::string_view urgencyName(Urgency Value) {
  return Value == Urgency::Urgent ? "urgent" : "ordinary";
}

json::value toJsonString(std::string_view Value) {
  return json::string(Value.data(), Value.size());
}

json::value toJsonString(framework::Duration Value) {
  return toJsonString(framework::durationText(Value));
}

json::array zonesToJson(const EnvironmentDocument &Document) {
  json::array Zones;
  for (const Zone &Each : Document.Zones_)
    Zones.push_back(
        {{"name", toJsonString(Each.Name_.value())},
         {"state",
          toJsonString(Each.State_ == ZoneState::InService ? "in" : "out")}});
  return Zones;
}

json::array groupsToJson(const Service &Declared) {
  json::array Groups;
  for (const TargetGroup &Each : Declared.Groups_)
    Groups.push_back({{"name", toJsonString(Each.Name_.value())},
                      {"zone", toJsonString(Each.Zone_.value())}});
  return Groups;
}

json::array kindsToJson(const Service &Declared) {
  json::array Kinds;
  for (const RequestKind &Each : Declared.Kinds_) {
    json::object Kind{{"name", toJsonString(Each.Name_.value())},
                      {"method", toJsonString(Each.Method_)},
                      {"path", toJsonString(Each.PathPattern_)},
                      {"idempotent", Each.IsIdempotent_},
                      {"urgency", toJsonString(urgencyName(Each.Urgency_))},
                      {"deadline", toJsonString(Each.Deadline_)},
                      {"hedging", Each.IsHedgingAllowed_}};
    // Written only when set, so that documents that don't use it keep the
    // digests that instances of earlier builds compute.
    if (Each.IsAnonymousAllowed_)
      Kind["anonymous"] = true;
    Kinds.push_back(std::move(Kind));
  }
  return Kinds;
}

json::array objectivesToJson(const Service &Declared) {
  json::array Objectives;
  for (const Objective &Each : Declared.Objectives_)
    Objectives.push_back(
        {{"urgency", toJsonString(urgencyName(Each.Urgency_))},
         {"latency", toJsonString(Each.Latency_)},
         {"good", toJsonString(framework::shareText(Each.GoodPerMillion_))}});
  return Objectives;
}

json::object serviceToJson(const Service &Declared) {
  return {{"name", toJsonString(Declared.Name_.value())},
          {"slots-per-target", Declared.SlotsPerTarget_},
          {"connections-per-target", Declared.ConnectionsPerTarget_},
          {"probes-per-target-per-minute", Declared.ProbesPerTargetPerMinute_},
          {"cold-start",
           {{"max-in-flight", Declared.ColdStart_.MaxInFlight_},
            {"warmup", toJsonString(Declared.ColdStart_.Warmup_)}}},
          {"groups", groupsToJson(Declared)},
          {"kinds", kindsToJson(Declared)},
          {"objectives", objectivesToJson(Declared)}};
}

DocumentSection makeSection(std::string Name, const json::value &Content) {
  std::string Text = json::serialize(Content);
  const framework::Digest Digest = sectionDigest(Text);
  return {std::move(Name), Digest, std::move(Text)};
}

} // namespace

std::vector<DocumentSection>
splitDocument(const EnvironmentDocument &Document) {
  std::vector<DocumentSection> Sections;
  Sections.push_back(makeSection(std::string(CommonSectionName),
                                 {{"max-instances", Document.MaxInstances_},
                                  {"list-lag", toJsonString(Document.ListLag_)},
                                  {"zones", zonesToJson(Document)}}));
  for (const Service &Each : Document.Services_)
    Sections.push_back(
        makeSection(std::string(ServiceSectionPrefix) + Each.Name_.value(),
                    serviceToJson(Each)));
  if (!Document.Workspaces_.empty())
    Sections.push_back(makeSection(std::string(WorkspacesSectionName),
                                   workspacesToJson(Document.Workspaces_)));
  std::sort(Sections.begin(), Sections.end(),
            [](const DocumentSection &Left, const DocumentSection &Right) {
              return Left.Name_ < Right.Name_;
            });
  return Sections;
}

std::string joinSections(const std::vector<DocumentSection> &Sections) {
  std::string Common = "{}";
  std::string Services;
  std::string Workspaces;
  for (const DocumentSection &Each : Sections) {
    if (Each.Name_ == CommonSectionName) {
      Common = Each.Text_;
      continue;
    }
    if (Each.Name_ == WorkspacesSectionName) {
      Workspaces = ",\"workspaces\":" + Each.Text_;
      continue;
    }
    if (!Services.empty())
      Services += ",";
    Services += Each.Text_;
  }
  if (Common.ends_with('}'))
    Common.pop_back();
  return Common + Workspaces + ",\"services\":[" + Services + "]}";
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
