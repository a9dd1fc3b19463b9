#ifndef CRANBERRYSPOOL_RPC_CLIENT_H
#define CRANBERRYSPOOL_RPC_CLIENT_H

#include <functional>
#include <string>

namespace cranberryspool {
namespace rpc {

/// Why a call has no result.
enum class CallFailure { None, Unreachable, Refused };

/// The result of a call, the text of a JSON object, or why there is none.
struct CallResult {
  CallFailure Failure_;
  std::string Text_;
};

/// Calls methods of another process by JSON-RPC 2.0, over any transport. Plain
/// C++14 on purpose: libjsonrpccpp does not compile as C++17 or later.
class Client {
public:
  /// Sends a request and waits for its response; false when there is none. The
  /// library compares no ids: the transport must tell responses apart.
  using Transport =
      std::function<bool(const std::string &Request, std::string &Response)>;

  explicit Client(Transport Send);

  /// Calls a method with parameters that are the text of a JSON object. Blocks
  /// as long as the transport does.
  CallResult call(const std::string &Method, const std::string &Parameters);

private:
  Transport Send_;
};

} // namespace rpc
} // namespace cranberryspool

#endif // CRANBERRYSPOOL_RPC_CLIENT_H
