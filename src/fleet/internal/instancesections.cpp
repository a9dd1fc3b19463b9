#include "fleet/internal/instancesections.h"
#include "document/sections.h"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <utility>

namespace cranberryspool::fleet {

namespace {

namespace json = boost::json;

json::object toJson(const document::PublishedInstance &Entry) {
  json::object Object;
  Object["name"] = Entry.Name_.value();
  if (Entry.Group_)
    Object["group"] = Entry.Group_->value();
  Object["zone"] = Entry.Zone_.value();
  Object["address"] = Entry.Address_;
  Object["leaving"] = Entry.IsLeaving_;
  return Object;
}

std::optional<std::string> findString(const json::object &Object,
                                      std::string_view Key) {
  const json::value *Member = Object.if_contains(Key);
  if (!Member || !Member->is_string())
    return std::nullopt;
  const json::string &Text = Member->get_string();
  return std::string(Text.data(), Text.size());
}

std::optional<document::PublishedInstance>
parseEntry(const json::value &Value) {
  const json::object *Object = Value.if_object();
  if (!Object)
    return std::nullopt;
  const auto Name = findString(*Object, "name");
  const auto Zone = findString(*Object, "zone");
  const auto Address = findString(*Object, "address");
  const json::value *Leaving = Object->if_contains("leaving");
  if (!Name || !Zone || !Address || !Leaving || !Leaving->is_bool())
    return std::nullopt;
  document::PublishedInstance Entry;
  Entry.Name_ = framework::InstanceName(*Name);
  if (auto Group = findString(*Object, "group"))
    Entry.Group_ = framework::GroupName(*Group);
  Entry.Zone_ = framework::ZoneName(*Zone);
  Entry.Address_ = *Address;
  Entry.IsLeaving_ = Leaving->get_bool();
  return Entry;
}

std::string sectionName(const document::PublishedInstance &Entry) {
  if (!Entry.Group_)
    return std::string(MembersSection);
  return "group/" + Entry.Group_->value();
}

} // namespace

std::vector<document::DocumentSection>
splitInstances(const std::vector<document::PublishedInstance> &Instances) {
  std::map<std::string, std::map<std::string, json::object>> EntriesBySection;
  for (const document::PublishedInstance &Entry : Instances)
    EntriesBySection[sectionName(Entry)][Entry.Name_.value()] = toJson(Entry);
  std::vector<document::DocumentSection> Sections;
  for (const auto &[Name, Entries] : EntriesBySection) {
    json::array Array;
    for (const auto &[EntryName, Object] : Entries)
      Array.push_back(Object);
    std::string Text = json::serialize(Array);
    const framework::Digest Hash = document::sectionDigest(Text);
    Sections.push_back(document::DocumentSection{Name, Hash, std::move(Text)});
  }
  return Sections;
}

std::optional<std::vector<document::PublishedInstance>>
parseInstanceSection(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Value = json::parse(Text, Error);
  const json::array *Array = Error ? nullptr : Value.if_array();
  if (!Array)
    return std::nullopt;
  std::vector<document::PublishedInstance> Entries;
  for (const json::value &Item : *Array) {
    auto Entry = parseEntry(Item);
    if (!Entry)
      return std::nullopt;
    Entries.push_back(std::move(*Entry));
  }
  return Entries;
}

} // namespace cranberryspool::fleet
