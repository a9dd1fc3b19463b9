#ifndef CRANBERRYSPOOL_RPC_SERVER_H
#define CRANBERRYSPOOL_RPC_SERVER_H

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryspool {
namespace rpc {

/// JSON-RPC 2.0 server, independent of the transport. The header is limited to
/// C++14 because libjsonrpccpp does not compile as C++17 or later.
class Server {
public:
  /// Implements a method. The parameters and the result are texts of JSON
  /// objects; an empty result makes the call fail.
  using Method = std::function<std::string(const std::string &Parameters)>;

  explicit Server(std::map<std::string, Method> Methods);
  ~Server();

  /// Executes one request and returns the response. Blocks until the method
  /// returns. Not thread-safe.
  std::string handle(const std::string &Request);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rpc
} // namespace cranberryspool

#endif // CRANBERRYSPOOL_RPC_SERVER_H
