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

/// Callers behind the platform's balancer: calls arrive at random times
/// whatever became of earlier ones, and go in turn to the instances that say
/// that they are ready. Used by the thread of its I/O context only.
class CallerStandin {
public:
  CallerStandin(boost::asio::io_context &Context, CallerSettings Settings);

  /// Starts offering load.
  void start();

  /// Ends the offering of load; calls under way go on.
  void stopArrivals();

  /// Calls from now on belong to the named phase.
  void setPhase(const std::string &Name) { Phases_.push_back(Name); }

  /// Multiplies the rate of the named streams; an empty name means all.
  void setRateFactor(const std::string &Stream, double Factor);

  /// Instances that said lately that they are ready.
  std::size_t readyCount() const { return Ready_.size(); }
  std::size_t inFlightCallCount() const { return UnderWay_; }
  const std::vector<std::string> &phases() const { return Phases_; }
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
  void checkReadiness();
  std::string makeKey();

  CallerSettings Settings_;
  framework::Random Rng_;
  HttpClient Client_;
  HttpClient ReadinessClient_;
  boost::asio::steady_timer ReadinessTimer_;
  std::deque<StreamState> States_;
  std::set<std::size_t> Ready_;
  std::size_t NextEntry_ = 0;
  std::uint64_t LastCall_ = 0;
  std::size_t UnderWay_ = 0;
  bool IsStopped_ = false;
  std::vector<std::string> Phases_ = {"start"};
  std::vector<CallRecord> Records_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_CALLERSTANDIN_H
