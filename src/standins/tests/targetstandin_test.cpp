#include "standins/httpclient.h"
#include "standins/targetstandin.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace cranberryspool;
using namespace cranberryspool::standins;

namespace {

constexpr std::chrono::seconds ReplyTimeout(20);

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

/// A target and a client that sends calls to it and collects the replies.
struct TargetFixture {
  explicit TargetFixture(const TargetSettings &Settings)
      : Target_(Context_, Settings, Record_, framework::Random(1)),
        Client_(Context_), Address_(Settings.Address_) {}

  void send(const std::string &Call) {
    Client_.send(
        Address_, makeCall(Call), ReplyTimeout,
        [this](const HttpClient::Reply &Reply) { Replies_.push_back(Reply); });
  }

  void runUntilReplies(std::size_t Count) {
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

TEST_CASE("a target runs a call, records the run and returns the call id",
          "[standins]") {
  TargetFixture Fixture(makeSettings("127.0.90.1:19001"));
  Fixture.send("call-1");
  Fixture.runUntilReplies(1);
  CHECK(Fixture.Replies_[0].Status_ == 200);
  CHECK(Fixture.Replies_[0].Body_ == "call-1");
  CHECK(Fixture.Replies_[0].Headers_.at("attempt-id") == "77");
  CHECK(Fixture.Record_.runCount("call-1") == 1);
}

TEST_CASE("a target records the workspace of a run and a key that is passed on",
          "[standins]") {
  TargetFixture Fixture(makeSettings("127.0.90.5:19001"));
  Fixture.send("call-1");
  Fixture.runUntilReplies(1);
  CHECK(Fixture.Record_.workspaces().empty());
  CHECK(Fixture.Target_.counters().KeysReceived_ == 0);
  HttpRequest Request = makeCall("call-2");
  Request.Headers_["Workspace"] = "w1";
  Request.Headers_["Authorization"] = "Bearer x";
  Fixture.Client_.send(Fixture.Address_, Request, ReplyTimeout,
                       [&](const HttpClient::Reply &Reply) {
                         Fixture.Replies_.push_back(Reply);
                       });
  Fixture.runUntilReplies(2);
  CHECK(Fixture.Record_.workspaces() ==
        std::map<std::string, std::set<std::string>>{{"call-2", {"w1"}}});
  CHECK(Fixture.Target_.counters().KeysReceived_ == 1);
}

TEST_CASE(
    "a request that finds the queue full is answered as not run and is not run",
    "[standins]") {
  TargetSettings Settings = makeSettings("127.0.90.2:19001");
  Settings.QueueLimit_ = 0;
  TargetFixture Fixture(Settings);
  Fixture.send("call-1");
  Fixture.runUntilReplies(1);
  CHECK(Fixture.Replies_[0].Status_ == 503);
  CHECK(Fixture.Replies_[0].Headers_.at("not-run") == "true");
  CHECK(Fixture.Record_.runCount("call-1") == 0);
}

TEST_CASE("a cold restart changes the start id and closes connections",
          "[standins]") {
  TargetFixture Fixture(makeSettings("127.0.90.3:19001"));
  Fixture.send("call-1");
  Fixture.runUntilReplies(1);
  const std::string StartIdBefore = Fixture.Replies_[0].Headers_.at("start-id");
  Fixture.send("call-2");
  while (Fixture.Target_.counters().Requests_ < 2)
    Fixture.Context_.run_one();
  Fixture.Target_.restartCold();
  Fixture.runUntilReplies(2);
  CHECK(Fixture.Replies_[1].Outcome_ == HttpClient::Outcome::ConnectionClosed);
  Fixture.send("call-3");
  Fixture.runUntilReplies(3);
  CHECK(Fixture.Replies_[2].Headers_.at("start-id") != StartIdBefore);
  CHECK(Fixture.Target_.counters().MaxColdInFlight_ == 1);
}

TEST_CASE("a truncated response is reported as a closed connection",
          "[standins]") {
  TargetFixture Fixture(makeSettings("127.0.90.4:19001"));
  TargetFaults Faults;
  Faults.IsTruncatingResponses_ = true;
  Fixture.Target_.setFaults(Faults);
  Fixture.send("call-1");
  Fixture.runUntilReplies(1);
  CHECK(Fixture.Replies_[0].Outcome_ == HttpClient::Outcome::ConnectionClosed);
}
