#include "entry/httpgetclient.h"
#include "standins/httpserver.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace cranberryspool;
using namespace cranberryspool::entry;
using std::chrono::milliseconds;

namespace {

/// A server that holds its answers until it is told to send them.
struct World {
  static constexpr std::uint16_t Port = 18643;

  boost::asio::io_context ServerIo_;
  boost::asio::io_context Io_;
  std::vector<standins::SessionId> Asked_;
  standins::HttpServer Server_{
      ServerIo_,
      {boost::asio::ip::make_address("127.0.0.78"), Port},
      [this](standins::SessionId Session, const standins::HttpRequest &) {
        Asked_.push_back(Session);
      },
      [](standins::SessionId) {}};
  std::shared_ptr<HttpGetClient> Exchange_ =
      std::make_shared<HttpGetClient>(Io_);
  int Answers_ = 0;
  int Failures_ = 0;
  std::string Body_;

  void ask(framework::Duration Timeout) {
    HttpGetRequest Question;
    Question.Server_ = Endpoint{"127.0.0.78", Port};
    Question.Target_ = "/";
    Question.Timeout_ = Timeout;
    Question.BodyBytes_ = 1'000'000;
    Exchange_->get(std::move(Question), [this](const auto &Given) {
      Answers_ += Given ? 1 : 0;
      Failures_ += Given ? 0 : 1;
      Body_ = Given ? Given->body() : std::string();
    });
  }

  /// Lets both ends do what is due.
  void turn() {
    Io_.restart();
    Io_.poll();
    ServerIo_.restart();
    ServerIo_.poll();
  }

  /// Runs both ends until the server has so many questions.
  void runUntilAsked(std::size_t Count) {
    while (Asked_.size() < Count)
      turn();
  }

  void respond(std::size_t Question, std::string Body) {
    standins::HttpResponse Response;
    Response.Body_ = std::move(Body);
    Server_.respond(Asked_.at(Question), Response);
    for (int Turn = 0; Turn < 100; ++Turn) {
      ServerIo_.restart();
      ServerIo_.poll();
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  void finish() {
    while (Answers_ + Failures_ == 0)
      turn();
  }
};

} // namespace

TEST_CASE("an answer that comes with the end of its time harms nothing",
          "[entry]") {
  World Test;
  Test.ask(milliseconds(50));
  Test.runUntilAsked(1);
  // The instance does not run while the answer arrives and the time ends.
  Test.respond(0, std::string(200'000, 'x'));
  Test.finish();
  CHECK(Test.Answers_ + Test.Failures_ == 1);
  // What is left of the first answer does not reach the second question.
  Test.Answers_ = 0;
  Test.Failures_ = 0;
  Test.ask(std::chrono::seconds(5));
  Test.runUntilAsked(2);
  Test.respond(1, "second");
  Test.finish();
  CHECK(Test.Answers_ == 1);
  CHECK(Test.Body_ == "second");
}

TEST_CASE("a question that is given up for another gets no answer", "[entry]") {
  World Test;
  Test.ask(std::chrono::seconds(5));
  Test.runUntilAsked(1);
  Test.respond(0, std::string(200'000, 'x'));
  // A part of the answer is read, the rest is on its way.
  Test.Io_.poll_one();
  Test.ask(std::chrono::seconds(5));
  Test.runUntilAsked(2);
  Test.respond(1, "second");
  Test.finish();
  CHECK(Test.Answers_ == 1);
  CHECK(Test.Body_ == "second");
}
