#ifndef CRANBERRYSPOOL_RPC_INTERNAL_JSONTEXT_H
#define CRANBERRYSPOOL_RPC_INTERNAL_JSONTEXT_H

#include <json/value.h>

#include <string>

namespace cranberryspool {
namespace rpc {

/// Writes a value without spaces.
std::string writeJson(const Json::Value &Value);

/// Reads a JSON text; false when it is none.
bool readJson(const std::string &Text, Json::Value &Value);

} // namespace rpc
} // namespace cranberryspool

#endif // CRANBERRYSPOOL_RPC_INTERNAL_JSONTEXT_H
