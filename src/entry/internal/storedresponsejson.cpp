#include "entry/internal/storedresponsejson.h"

#include "entry/base64.h"
#include "entry/internal/fieldtext.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace cranberryspool::entry {

namespace json = boost::json;

namespace {

std::optional<json::object> readObject(std::string_view Text) {
  json::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  return std::move(Parsed.get_object());
}

std::optional<std::string> readBase64(const json::object &Object,
                                      std::string_view Name) {
  const json::value *Member = Object.if_contains(Name);
  if (!Member || !Member->is_string())
    return std::nullopt;
  return decodeBase64(Member->get_string());
}

bool readFields(const json::object &Object, std::vector<HeaderField> &Fields) {
  const json::value *Member = Object.if_contains("fields");
  if (!Member || !Member->is_array())
    return false;
  for (const json::value &Field : Member->get_array()) {
    if (!Field.is_object())
      return false;
    auto Name = readBase64(Field.get_object(), "name");
    auto Value = readBase64(Field.get_object(), "value");
    if (!Name || !Value)
      return false;
    Fields.push_back({std::move(*Name), std::move(*Value)});
  }
  return true;
}

} // namespace

std::string writeStoredResponseRequest(framework::CallId Call) {
  return json::serialize(json::object{{"call", std::to_string(Call.value())}});
}

std::optional<framework::CallId>
readStoredResponseRequest(std::string_view Text) {
  const auto Object = readObject(Text);
  if (!Object)
    return std::nullopt;
  const json::value *Member = Object->if_contains("call");
  if (!Member || !Member->is_string())
    return std::nullopt;
  const auto CallNumber = parseUnsigned(Member->get_string());
  if (!CallNumber)
    return std::nullopt;
  return framework::CallId(*CallNumber);
}

std::string writeStoredResponse(const TargetResponse *Response) {
  if (!Response)
    return json::serialize(json::object{{"found", false}});
  json::array Fields;
  for (const HeaderField &Field : Response->Fields_)
    Fields.push_back(json::object{{"name", encodeBase64(Field.Name_)},
                                  {"value", encodeBase64(Field.Value_)}});
  return json::serialize(json::object{{"found", true},
                                      {"status", Response->Status_},
                                      {"fields", std::move(Fields)},
                                      {"body", encodeBase64(Response->Body_)}});
}

std::optional<TargetResponse> readStoredResponse(std::string_view Text) {
  const auto Object = readObject(Text);
  if (!Object)
    return std::nullopt;
  const json::value *Found = Object->if_contains("found");
  const json::value *Status = Object->if_contains("status");
  if (!Found || !Found->is_bool() || !Found->get_bool() || !Status ||
      !Status->is_int64())
    return std::nullopt;
  const std::int64_t Code = Status->get_int64();
  auto Body = readBase64(*Object, "body");
  TargetResponse Response;
  if (Code < 200 || Code > 599 || !Body ||
      !readFields(*Object, Response.Fields_))
    return std::nullopt;
  Response.Status_ = static_cast<unsigned>(Code);
  Response.Body_ = std::move(*Body);
  return Response;
}

} // namespace cranberryspool::entry
