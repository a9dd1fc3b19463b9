#include "entry/internal/instancelist.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace cranberryspool::entry {

namespace json = boost::json;

namespace {

std::optional<std::string> readString(const json::object &Object,
                                      std::string_view Name) {
  const json::value *Member = Object.if_contains(Name);
  if (!Member || !Member->is_string())
    return std::nullopt;
  return std::string(Member->get_string());
}

std::optional<document::PublishedInstance>
readInstance(const json::value &Value) {
  if (!Value.is_object())
    return std::nullopt;
  const json::object &Object = Value.get_object();
  const auto Name = readString(Object, "name");
  const auto Zone = readString(Object, "zone");
  const auto Address = readString(Object, "address");
  const auto State = readString(Object, "state");
  if (!Name || !Zone || !Address || !State)
    return std::nullopt;
  if (*State != "live" && *State != "leaving")
    return std::nullopt;
  document::PublishedInstance Instance;
  Instance.Name_ = framework::InstanceName(*Name);
  Instance.Zone_ = framework::ZoneName(*Zone);
  Instance.Address_ = *Address;
  Instance.IsLeaving_ = *State == "leaving";
  const auto Group = readString(Object, "group");
  if (Group && !Group->empty())
    Instance.Group_ = framework::GroupName(*Group);
  return Instance;
}

} // namespace

std::optional<InstanceList> readInstanceList(std::string_view Text) {
  json::error_code Error;
  const json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  const json::value *Revision = Parsed.get_object().if_contains("revision");
  const json::value *Instances = Parsed.get_object().if_contains("instances");
  if (!Revision || !Revision->is_int64() || Revision->get_int64() < 0 ||
      !Instances || !Instances->is_array())
    return std::nullopt;
  InstanceList List;
  List.Revision_ =
      framework::Revision(static_cast<std::uint64_t>(Revision->get_int64()));
  for (const json::value &Element : Instances->get_array()) {
    auto Instance = readInstance(Element);
    if (!Instance)
      return std::nullopt;
    List.Instances_.push_back(std::move(*Instance));
  }
  return List;
}

} // namespace cranberryspool::entry
