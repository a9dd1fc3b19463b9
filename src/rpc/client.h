#ifndef CRANBERRYSPOOL_RPC_CLIENT_H
#define CRANBERRYSPOOL_RPC_CLIENT_H

#include <functional>
#include <string>

namespace cranberryspool {
namespace rpc {

/// Reason why a call has no result. `TransportError`: the transport returned no
/// response. `RpcError`: the parameters are not JSON, the server returned an
/// error, or the response is malformed.
enum class CallFailure { None, TransportError, RpcError };

/// Result of a call as JSON text, or the reason why there is none.
struct CallResult {
  CallFailure Failure_;
  std::string Text_;
};

/// JSON-RPC 2.0 client with an exchangeable transport. The header is limited to
/// C++14 because libjsonrpccpp does not compile as C++17 or later.
class Client {
public:
  /// Sends a request and waits for its response; returns false when there is
  /// none. The library does not compare the ids of requests and responses, so
  /// the transport must match each response to its request.
  using Transport =
      std::function<bool(const std::string &Request, std::string &Response)>;

  explicit Client(Transport Send);

  /// Calls a method. The parameters are the text of a JSON object. Blocks until
  /// the transport returns.
  CallResult call(const std::string &Method, const std::string &Parameters);

private:
  Transport Send_;
};

} // namespace rpc
} // namespace cranberryspool

#endif // CRANBERRYSPOOL_RPC_CLIENT_H
