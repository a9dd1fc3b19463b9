#include "rpc/server.h"

#include "rpc/internal/jsontext.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace cranberryspool {
namespace rpc {

class Server::Impl : public ::jsonrpc::IProcedureInvokationHandler {
public:
  explicit Impl(std::map<std::string, Method> Methods)
      : Methods_(std::move(Methods)),
        Protocol_(::jsonrpc::RequestHandlerFactory::createProtocolHandler(
            ::jsonrpc::JSONRPC_SERVER_V2, *this)) {
    for (const auto &NamedMethod : Methods_)
      Protocol_->AddProcedure(
          ::jsonrpc::Procedure(NamedMethod.first, ::jsonrpc::PARAMS_BY_NAME,
                               ::jsonrpc::JSON_OBJECT, nullptr));
  }

  std::string handle(const std::string &Request) {
    std::string Response;
    Protocol_->HandleRequest(Request, Response);
    return Response;
  }

  // The library's interface prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  void HandleMethodCall(::jsonrpc::Procedure &Called, const Json::Value &Input,
                        Json::Value &Output) override {
    const std::string Text =
        Methods_.at(Called.GetProcedureName())(writeJson(Input));
    if (Text.empty() || !parseJson(Text, Output))
      throw ::jsonrpc::JsonRpcException(
          ::jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR);
  }

  void HandleNotificationCall(::jsonrpc::Procedure &,
                              const Json::Value &) override {}
  // NOLINTEND(readability-identifier-naming)

private:
  std::map<std::string, Method> Methods_;
  std::unique_ptr<::jsonrpc::IProtocolHandler> Protocol_;
};

Server::Server(std::map<std::string, Method> Methods)
    : Impl_(new Impl(std::move(Methods))) {}

Server::~Server() = default;

std::string Server::handle(const std::string &Request) {
  return Impl_->handle(Request);
}

} // namespace rpc
} // namespace cranberryspool
