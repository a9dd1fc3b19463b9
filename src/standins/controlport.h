#ifndef CRANBERRYSPOOL_STANDINS_CONTROLPORT_H
#define CRANBERRYSPOOL_STANDINS_CONTROLPORT_H

#include "standins/callerstandin.h"
#include "standins/deployment.h"
#include "standins/httpserver.h"

#include <boost/json/object.hpp>

#include <functional>
#include <optional>

namespace cranberryspool::standins {

/// The port by which an experiment steers the stand-ins: `POST /` with a JSON
/// object whose member `do` names the command; `GET /counters`, `GET /runs`
/// and `GET /calls` read what was recorded. Used by the thread of its I/O
/// context only.
class ControlPort {
public:
  /// `Behind` and `Callers` may be null when the process does not play that
  /// part; both must outlive the port. `OnExit` ends the process.
  ControlPort(boost::asio::io_context &Context,
              const boost::asio::ip::tcp::endpoint &Address, Deployment *Behind,
              CallerStandin *Callers, std::function<void()> OnExit);

private:
  void receive(SessionId Session, const HttpRequest &Request);
  bool runCommand(const boost::json::object &Command);
  bool runPlatformCommand(const std::string &Name,
                          const boost::json::object &Command);
  bool runTargetCommand(const std::string &Name,
                        const boost::json::object &Command);
  bool runCallerCommand(const std::string &Name,
                        const boost::json::object &Command);
  std::optional<std::string> read(const std::string &Path) const;
  std::string readCounters() const;
  std::string readRuns() const;
  std::string readCalls() const;

  Deployment *Behind_;
  CallerStandin *Callers_;
  std::function<void()> OnExit_;
  HttpServer Server_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CONTROLPORT_H
