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

/// A target: slots, a queue, a cold start, load reports, and faults on demand.
/// Used by the thread of its I/O context only.
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

  /// Starts anew: a new start id, all connections reset, queued and running
  /// work lost, cold for the warm-up time.
  void restartCold();

  /// Makes the open connections silent.
  void silenceConnections() { Server_.silenceConnections(); }

private:
  using Clock = std::chrono::steady_clock;

  struct Work {
    HttpRequest Request_;
    Clock::time_point Arrival_;
    bool IsProbe_ = false;
    /// True for work that an instance sent, false for calls straight from a
    /// caller.
    bool IsThroughInstance_ = false;
  };

  struct LoadSample {
    Clock::time_point Time_;
    std::uint32_t InFlight_ = 0;
    std::uint32_t Queued_ = 0;
  };

  void receive(SessionId Session, const HttpRequest &Request);
  void cancel(SessionId Session);
  void startQueued();
  void startWork(SessionId Session);
  void finish(SessionId Session);
  void send(SessionId Session, HttpResponse Response);
  void sendNow(SessionId Session, const HttpResponse &Response);
  void sendNotRun(SessionId Session, const HttpRequest &Request);
  void noteColdArrival();
  std::uint32_t inFlightThroughInstances() const;
  void sampleLoad();
  bool isCold() const;
  bool hasExpired(const Work &Item) const;
  framework::Duration drawServiceTime(const Work &Item);
  std::string loadReport();
  HttpResponse makeResponse(const HttpRequest &Request, unsigned Status);

  boost::asio::io_context &Context_;
  TargetSettings Settings_;
  RunRecord &Record_;
  framework::Random Rng_;
  TargetFaults Faults_;
  TargetCounters Counters_;
  std::uint64_t StartId_;
  /// Changes with each restart, so that timers of lost work are recognised.
  std::uint64_t Epoch_ = 0;
  std::optional<Clock::time_point> ColdUntil_;
  std::map<SessionId, Work> Pending_;
  std::deque<SessionId> Queue_;
  std::map<SessionId, std::unique_ptr<boost::asio::steady_timer>> Running_;
  std::deque<LoadSample> Samples_;
  /// The answer that waits for another one to be crossed with.
  std::optional<std::pair<SessionId, HttpResponse>> Crossing_;
  HttpServer Server_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_TARGETSTANDIN_H
