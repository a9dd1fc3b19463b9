#ifndef CRANBERRYSPOOL_RPC_INTERNAL_JSONTEXT_H
#define CRANBERRYSPOOL_RPC_INTERNAL_JSONTEXT_H

#include <json/value.h>

#include <string>

namespace cranberryspool {
namespace rpc {

/// Writes a value as JSON text without whitespace.
std::string writeJson(const Json::Value &Value);

/// Parses JSON text; returns false when it is malformed.
bool parseJson(const std::string &Text, Json::Value &Value);

} // namespace rpc
} // namespace cranberryspool

#endif // CRANBERRYSPOOL_RPC_INTERNAL_JSONTEXT_H
