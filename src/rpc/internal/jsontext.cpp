#include "rpc/internal/jsontext.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace cranberryspool {
namespace rpc {

std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

bool parseJson(const std::string &Text, Json::Value &Value) {
  const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  return Reader->parse(Text.data(), Text.data() + Text.size(), &Value, nullptr);
}

} // namespace rpc
} // namespace cranberryspool
