#ifndef CRANBERRYSPOOL_STANDINS_TARGETSTANDIN_H
#define CRANBERRYSPOOL_STANDINS_TARGETSTANDIN_H

#include "framework/random.h"
#include "standins/httpserver.h"
#include "standins/runrecord.h"
#include "standins/targetcounters.h"
#include "standins/targetfaults.h"
#include "standins/targetsettings.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace cranberryspool::standins {

/// A stand-in for a target, with slots, a request queue, a cold start, load
/// reports and fault injection. Used only by the thread of its I/O context.
class TargetStandin {
public:
  /// `Record` must outlive the target.
  TargetStandin(boost::asio::io_context &Context, TargetSettings Settings,
                RunRecord &Record, framework::Random Rng);

  const TargetSettings &settings() const { return Settings_; }
  const TargetCounters &counters() const { return Counters_; }
  const HttpServer &server() const { return Server_; }

  void setFaults(const TargetFaults &Faults) { Faults_ = Faults; }
  const TargetFaults &faults() const { return Faults_; }

  /// Simulates a restart: the start id changes, all connections are closed,
  /// queued and running requests are lost, and the target is cold for the
  /// warm-up time.
  void restartCold();

  /// Stalls all open connections; see `HttpServer::stallConnections`.
  void stallConnections() { Server_.stallConnections(); }

private:
  using Clock = std::chrono::steady_clock;

  struct PendingRequest {
    HttpRequest Request_;
    Clock::time_point Arrival_;
    bool IsProbe_ = false;
    /// True for requests sent by an instance, false for load probes and for
    /// requests sent directly by a caller.
    bool IsFromInstance_ = false;
  };

  struct LoadSample {
    Clock::time_point Time_;
    std::uint32_t InFlight_ = 0;
    std::uint32_t Queued_ = 0;
  };

  void handleRequest(SessionId Session, const HttpRequest &Request);
  void handleDisconnect(SessionId Session);
  void startQueuedRequests();
  void startRequest(SessionId Session);
  void finish(SessionId Session);
  void send(SessionId Session, HttpResponse Response);
  void sendImmediately(SessionId Session, const HttpResponse &Response);
  void sendNotRun(SessionId Session, const HttpRequest &Request);
  void recordColdArrival();
  std::uint32_t inFlightFromInstances() const;
  void sampleLoad();
  bool isCold() const;
  bool hasExpired(const PendingRequest &Pending) const;
  framework::Duration sampleServiceTime(const PendingRequest &Pending);
  std::string loadReport();
  HttpResponse makeResponse(const HttpRequest &Request, unsigned Status);

  boost::asio::io_context &Context_;
  TargetSettings Settings_;
  RunRecord &Record_;
  framework::Random Rng_;
  TargetFaults Faults_;
  TargetCounters Counters_;
  std::uint64_t StartId_;
  /// Incremented at each restart, so that timers of requests lost in a restart
  /// are ignored.
  std::uint64_t Epoch_ = 0;
  std::optional<Clock::time_point> ColdUntil_;
  std::map<SessionId, PendingRequest> Pending_;
  std::deque<SessionId> Queue_;
  std::map<SessionId, std::unique_ptr<boost::asio::steady_timer>> Running_;
  std::deque<LoadSample> LoadSamples_;
  /// The response that waits for another response to be swapped with.
  std::optional<std::pair<SessionId, HttpResponse>> PendingSwap_;
  HttpServer Server_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETSTANDIN_H
