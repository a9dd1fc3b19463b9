#include "standins/httpclient.h"
#include "standins/targetstandin.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::standins;

namespace {

constexpr std::chrono::seconds Patience(20);

TargetSettings makeSettings(const std::string &Address) {
  TargetSettings Settings;
  Settings.Name_ = framework::InstanceName("t");
  Settings.Address_ = Address;
  Settings.MeanServiceTime_ = std::chrono::milliseconds(2);
  Settings.Warmup_ = std::chrono::hours(1);
  return Settings;
}

HttpRequest makeCall(const std::string &Call) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/x";
  Request.Headers_["Caller-Call-Id"] = Call;
  Request.Headers_["Attempt-Id"] = "77";
  return Request;
}

/// A target with a client of its own, run until a number of replies are in.
struct Bench {
  explicit Bench(const TargetSettings &Settings)
      : Target_(Context_, Settings, Record_, framework::Random(1)),
        Client_(Context_), Address_(Settings.Address_) {}

  void send(const std::string &Call) {
    Client_.send(
        Address_, makeCall(Call), Patience,
        [this](const HttpClient::Reply &Reply) { Replies_.push_back(Reply); });
  }

  void runUntil(std::size_t Count) {
    while (Replies_.size() < Count)
      Context_.run_one();
  }

  boost::asio::io_context Context_;
  RunRecord Record_;
  TargetStandin Target_;
  HttpClient Client_;
  std::string Address_;
  std::vector<HttpClient::Reply> Replies_;
};

} // namespace

TEST_CASE("a target runs a call, records it and echoes it", "[standins]") {
  Bench Setup(makeSettings("127.0.90.1:19001"));
  Setup.send("call-1");
  Setup.runUntil(1);
  CHECK(Setup.Replies_[0].Status_ == 200);
  CHECK(Setup.Replies_[0].Body_ == "call-1");
  CHECK(Setup.Replies_[0].Headers_.at("attempt-id") == "77");
  CHECK(Setup.Record_.runCount("call-1") == 1);
}

TEST_CASE("a full queue is answered as not run, and did not run",
          "[standins]") {
  TargetSettings Settings = makeSettings("127.0.90.2:19001");
  Settings.QueueLimit_ = 0;
  Bench Setup(Settings);
  Setup.send("call-1");
  Setup.runUntil(1);
  CHECK(Setup.Replies_[0].Status_ == 503);
  CHECK(Setup.Replies_[0].Headers_.at("not-run") == "true");
  CHECK(Setup.Record_.runCount("call-1") == 0);
}

TEST_CASE("a cold restart changes the start id and cuts connections",
          "[standins]") {
  Bench Setup(makeSettings("127.0.90.3:19001"));
  Setup.send("call-1");
  Setup.runUntil(1);
  const std::string Before = Setup.Replies_[0].Headers_.at("start-id");
  Setup.send("call-2");
  while (Setup.Target_.counters().Requests_ < 2)
    Setup.Context_.run_one();
  Setup.Target_.restartCold();
  Setup.runUntil(2);
  CHECK(Setup.Replies_[1].Outcome_ == HttpClient::Outcome::Cut);
  Setup.send("call-3");
  Setup.runUntil(3);
  CHECK(Setup.Replies_[2].Headers_.at("start-id") != Before);
  CHECK(Setup.Target_.counters().MaxColdInFlight_ == 1);
}

TEST_CASE("a truncated answer is no answer", "[standins]") {
  Bench Setup(makeSettings("127.0.90.4:19001"));
  TargetFaults Faults;
  Faults.IsTruncating_ = true;
  Setup.Target_.setFaults(Faults);
  Setup.send("call-1");
  Setup.runUntil(1);
  CHECK(Setup.Replies_[0].Outcome_ == HttpClient::Outcome::Cut);
}
