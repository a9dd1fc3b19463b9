#include "rpc/client.h"

#include "rpc/internal/jsontext.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

namespace cranberryspool {
namespace rpc {

namespace {

/// Gives the library our transport.
class Connector : public ::jsonrpc::IClientConnector {
public:
  explicit Connector(const Client::Transport &Send) : Send_(Send) {}

  // The name and the exceptions are those of the library's interface.
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
  Json::Value Question;
  if (!readJson(Parameters, Question))
    return failed(CallFailure::Refused);
  try {
    Connector Link(Send_);
    ::jsonrpc::Client Caller(Link);
    return CallResult{CallFailure::None,
                      writeJson(Caller.CallMethod(Method, Question))};
  } catch (const ::jsonrpc::JsonRpcException &Error) {
    if (Error.GetCode() == ::jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
      return failed(CallFailure::Unreachable);
    return failed(CallFailure::Refused);
  } catch (const std::exception &) {
    // The JSON library's own, on a response of an unexpected shape.
    return failed(CallFailure::Refused);
  }
}

} // namespace rpc
} // namespace cranberryspool
