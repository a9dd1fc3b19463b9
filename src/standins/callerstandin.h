#ifndef CRANBERRYSPOOL_STANDINS_CALLERSTANDIN_H
#define CRANBERRYSPOOL_STANDINS_CALLERSTANDIN_H

#include "framework/random.h"
#include "standins/callersettings.h"
#include "standins/callrecord.h"
#include "standins/httpclient.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace cranberryspool::standins {

/// An open-loop load generator in place of the callers and the platform's load
/// balancer. Calls arrive at random times, independently of the outcome of
/// earlier calls, and are sent round-robin to the instances that report
/// themselves ready. Used only by the thread of its I/O context.
class CallerStandin {
public:
  CallerStandin(boost::asio::io_context &Context, CallerSettings Settings);

  /// Starts the arrival of calls on all streams.
  void start();

  /// Stops the arrival of calls. Calls in flight still run to their end.
  void stopArrivals();

  /// Starts the named phase; later calls are recorded as part of it.
  void setPhase(const std::string &Name) { Phases_.push_back(Name); }

  /// Sets the factor by which the configured rate of the named stream is
  /// multiplied. An empty name selects all streams.
  void setRateFactor(const std::string &Stream, double Factor);

  /// The number of instances whose last readiness check succeeded.
  std::size_t readyCount() const { return ReadyInstances_.size(); }
  /// The number of calls that have been sent and have not yet ended.
  std::size_t inFlightCallCount() const { return InFlightCalls_; }
  /// The names of all phases so far, in order of their start.
  const std::vector<std::string> &phases() const { return Phases_; }
  /// The records of all calls that have ended, in that order.
  const std::vector<CallRecord> &records() const { return Records_; }
  const CallerSettings &settings() const { return Settings_; }

private:
  using Clock = std::chrono::steady_clock;

  struct StreamState {
    explicit StreamState(boost::asio::io_context &Context) : Timer_(Context) {}

    boost::asio::steady_timer Timer_;
    Clock::time_point NextArrival_;
    double RateFactor_ = 1.0;
  };

  void scheduleArrival(std::size_t Stream);
  void sendCall(std::size_t Stream, Clock::time_point Arrival);
  void finishCall(CallRecord Record, Clock::time_point Arrival,
                  const HttpClient::Reply &Reply);
  HttpRequest makeRequest(const CallerStream &Stream, const std::string &Call);
  const std::string *chooseAddress(const CallerStream &Stream);
  void pollReadiness();
  std::string makeIdempotencyKey();

  CallerSettings Settings_;
  framework::Random Rng_;
  HttpClient Client_;
  HttpClient ReadinessClient_;
  boost::asio::steady_timer ReadinessTimer_;
  std::deque<StreamState> StreamStates_;
  std::set<std::size_t> ReadyInstances_;
  std::size_t NextInstance_ = 0;
  std::uint64_t LastCallNumber_ = 0;
  std::size_t InFlightCalls_ = 0;
  bool IsStopped_ = false;
  std::vector<std::string> Phases_ = {"start"};
  std::vector<CallRecord> Records_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLERSTANDIN_H
