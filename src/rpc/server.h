#ifndef CRANBERRYSPOOL_RPC_SERVER_H
#define CRANBERRYSPOOL_RPC_SERVER_H

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cranberryspool {
namespace rpc {

/// The methods that a process offers by JSON-RPC 2.0, over any transport.
/// Plain C++14 on purpose: libjsonrpccpp does not compile as C++17 or later.
class Server {
public:
  /// Takes the parameters as the text of a JSON object and returns the result
  /// likewise; an empty text is an error of the method.
  using Method = std::function<std::string(const std::string &Parameters)>;

  explicit Server(std::map<std::string, Method> Methods);
  ~Server();

  /// Carries out one request and returns the response. Blocks as long as the
  /// method does. Not thread-safe.
  std::string handle(const std::string &Request);

private:
  class Workings;
  std::unique_ptr<Workings> Workings_;
};

} // namespace rpc
} // namespace cranberryspool

#endif // CRANBERRYSPOOL_RPC_SERVER_H
