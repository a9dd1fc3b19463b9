#ifndef CRANBERRYSPOOL_STANDINS_CONTROLSERVER_H
#define CRANBERRYSPOOL_STANDINS_CONTROLSERVER_H

#include "standins/callerstandin.h"
#include "standins/deployment.h"
#include "standins/httpserver.h"

#include <boost/json/object.hpp>

#include <functional>
#include <optional>

namespace cranberryspool::standins {

/// The HTTP server through which an experiment controls the stand-ins. `POST /`
/// takes a JSON object whose member `do` names the command. `GET /counters`,
/// `GET /runs`, `GET /calls` and `GET /under-way` return the recorded data.
/// Used only by the thread of its I/O context.
class ControlServer {
public:
  /// `Upstream` or `Callers` is null when the process does not simulate the
  /// deployment or the callers. Both must outlive the server. `OnExit` ends the
  /// process.
  ControlServer(boost::asio::io_context &Context,
                const boost::asio::ip::tcp::endpoint &Address,
                Deployment *Upstream, CallerStandin *Callers,
                std::function<void()> OnExit);

private:
  void handleRequest(SessionId Session, const HttpRequest &Request);
  bool runCommand(const boost::json::object &Command);
  bool runPlatformCommand(const std::string &Name,
                          const boost::json::object &Command);
  bool runTargetCommand(const std::string &Name,
                        const boost::json::object &Command);
  bool runCallerCommand(const std::string &Name,
                        const boost::json::object &Command);
  std::optional<std::string> get(const std::string &Path) const;
  std::string countersJson() const;
  std::string runsJson() const;
  std::string workspacesJson() const;
  std::string callsJson() const;

  Deployment *Upstream_;
  CallerStandin *Callers_;
  std::function<void()> OnExit_;
  HttpServer Server_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CONTROLSERVER_H
