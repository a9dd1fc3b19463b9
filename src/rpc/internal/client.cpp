#include "rpc/client.h"

#include "rpc/internal/jsontext.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

namespace cranberryspool {
namespace rpc {

namespace {

/// Adapts a transport to the interface of libjsonrpccpp.
class Connector : public ::jsonrpc::IClientConnector {
public:
  explicit Connector(const Client::Transport &Send) : Send_(Send) {}

  // The library's interface prescribes the name and the exceptions.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      ::jsonrpc::JsonRpcException) override {
    if (!Send_(Message, Result))
      throw ::jsonrpc::JsonRpcException(
          ::jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
  }

private:
  const Client::Transport &Send_;
};

CallResult failed(CallFailure Failure) {
  return CallResult{Failure, std::string()};
}

} // namespace

Client::Client(Transport Send) : Send_(std::move(Send)) {}

CallResult Client::call(const std::string &Method,
                        const std::string &Parameters) {
  Json::Value ParsedParameters;
  if (!parseJson(Parameters, ParsedParameters))
    return failed(CallFailure::RpcError);
  try {
    Connector TransportConnector(Send_);
    ::jsonrpc::Client LibraryClient(TransportConnector);
    return CallResult{CallFailure::None, writeJson(LibraryClient.CallMethod(
                                             Method, ParsedParameters))};
  } catch (const ::jsonrpc::JsonRpcException &Error) {
    if (Error.GetCode() == ::jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
      return failed(CallFailure::TransportError);
    return failed(CallFailure::RpcError);
  } catch (const std::exception &) {
    // JsonCpp throws its own exceptions when the response does not have the
    // expected structure.
    return failed(CallFailure::RpcError);
  }
}

} // namespace rpc
} // namespace cranberryspool
