#include "entry/internal/sectionsjson.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace cranberryspool::entry {

namespace json = boost::json;
using fleet::SectionKind;

namespace {

constexpr std::string_view DocumentKindName = "document";
constexpr std::string_view InstancesKindName = "instances";
constexpr int HexadecimalBase = 16;

/// Formats a 64-bit number, which is sent as text because many JSON parsers
/// read numbers as doubles.
std::string formatNumber(std::uint64_t Number, int Base) {
  char Digits[32];
  const auto [End, Code] =
      std::to_chars(std::begin(Digits), std::end(Digits), Number, Base);
  return Code == std::errc() ? std::string(Digits, End) : std::string();
}

std::optional<std::uint64_t> readNumber(const json::value *Member, int Base) {
  if (!Member || !Member->is_string())
    return std::nullopt;
  const json::string &Text = Member->get_string();
  std::uint64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Code] = std::from_chars(Text.data(), Last, Number, Base);
  if (Text.empty() || Code != std::errc() || End != Last)
    return std::nullopt;
  return Number;
}

std::optional<std::string> readText(const json::value *Member) {
  if (!Member || !Member->is_string())
    return std::nullopt;
  return std::string(Member->get_string());
}

json::value writeKind(SectionKind Kind) {
  return Kind == SectionKind::Document ? json::string(DocumentKindName)
                                       : json::string(InstancesKindName);
}

std::optional<SectionKind> readKind(const json::value *Member) {
  const auto Name = readText(Member);
  if (Name == DocumentKindName)
    return SectionKind::Document;
  if (Name == InstancesKindName)
    return SectionKind::Instances;
  return std::nullopt;
}

json::array writeDigests(const std::vector<fleet::SectionDigest> &Digests) {
  json::array Array;
  for (const fleet::SectionDigest &Digest : Digests)
    Array.push_back(json::object{
        {"name", Digest.Name_},
        {"digest", formatNumber(Digest.Digest_.value(), HexadecimalBase)}});
  return Array;
}

std::optional<fleet::SectionDigest> readDigest(const json::value &Value) {
  if (!Value.is_object())
    return std::nullopt;
  const auto Name = readText(Value.get_object().if_contains("name"));
  const auto Digest =
      readNumber(Value.get_object().if_contains("digest"), HexadecimalBase);
  if (!Name || !Digest)
    return std::nullopt;
  return fleet::SectionDigest{*Name, framework::Digest(*Digest)};
}

std::optional<std::vector<fleet::SectionDigest>>
readDigests(const json::value *Member) {
  if (!Member || !Member->is_array())
    return std::nullopt;
  std::vector<fleet::SectionDigest> Digests;
  for (const json::value &Section : Member->get_array()) {
    auto Digest = readDigest(Section);
    if (!Digest)
      return std::nullopt;
    Digests.push_back(std::move(*Digest));
  }
  return Digests;
}

std::optional<std::vector<document::DocumentSection>>
readSections(const json::value *Member) {
  if (!Member || !Member->is_array())
    return std::nullopt;
  std::vector<document::DocumentSection> Sections;
  for (const json::value &Section : Member->get_array()) {
    auto Digest = readDigest(Section);
    if (!Digest)
      return std::nullopt;
    auto Text = readText(Section.get_object().if_contains("text"));
    if (!Text)
      return std::nullopt;
    Sections.push_back({Digest->Name_, Digest->Digest_, std::move(*Text)});
  }
  return Sections;
}

std::optional<json::object> readObject(std::string_view Text) {
  json::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  return std::move(Parsed.get_object());
}

} // namespace

std::string writeSectionRequest(const fleet::SectionRequest &Request) {
  return json::serialize(json::object{{"kind", writeKind(Request.Kind_)},
                                      {"have", writeDigests(Request.Have_)}});
}

std::optional<fleet::SectionRequest> readSectionRequest(std::string_view Text) {
  const auto Object = readObject(Text);
  if (!Object)
    return std::nullopt;
  const auto Kind = readKind(Object->if_contains("kind"));
  auto Have = readDigests(Object->if_contains("have"));
  if (!Kind || !Have)
    return std::nullopt;
  return fleet::SectionRequest{*Kind, std::move(*Have)};
}

std::string writeSectionReply(const fleet::SectionReply &Reply) {
  json::array Changed;
  for (const document::DocumentSection &Section : Reply.Changed_)
    Changed.push_back(json::object{
        {"name", Section.Name_},
        {"digest", formatNumber(Section.Digest_.value(), HexadecimalBase)},
        {"text", Section.Text_}});
  return json::serialize(
      json::object{{"kind", writeKind(Reply.Kind_)},
                   {"revision", formatNumber(Reply.Revision_.value(), 10)},
                   {"manifest", writeDigests(Reply.Manifest_)},
                   {"changed", std::move(Changed)}});
}

std::optional<fleet::SectionReply> readSectionReply(std::string_view Text) {
  const auto Object = readObject(Text);
  if (!Object)
    return std::nullopt;
  const auto Kind = readKind(Object->if_contains("kind"));
  const auto Revision = readNumber(Object->if_contains("revision"), 10);
  auto Manifest = readDigests(Object->if_contains("manifest"));
  auto Changed = readSections(Object->if_contains("changed"));
  if (!Kind || !Revision || !Manifest || !Changed)
    return std::nullopt;
  return fleet::SectionReply{*Kind, framework::Revision(*Revision),
                             std::move(*Manifest), std::move(*Changed)};
}

} // namespace cranberryspool::entry
