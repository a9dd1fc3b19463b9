#include "entry/internal/targetprobe.h"

#include "entry/internal/answerfields.h"
#include "entry/internal/listen.h"
#include "protocol/headers.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::string_view ProbePath = "/_load";
constexpr std::size_t ReportBytes = 16 * 1024;

} // namespace

TargetProbe::TargetProbe(const decision::ProbeTarget &Order,
                         TargetConnections &Pool)
    : Order_(Order), Pool_(Pool), Socket_(Pool.io()), Timer_(Pool.io()),
      Started_(Pool.now()) {
  Answer_.body_limit(ReportBytes);
}

void TargetProbe::start() {
  const auto Where = parseEndpoint(Order_.Address_);
  if (!Where) {
    fail();
    return;
  }
  Timer_.expires_after(Pool_.limits().ConnectTimeout_);
  Timer_.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error)
      Self->fail();
  });
  Socket_.async_connect(toTcp(Where.value()),
                        [Self = shared_from_this()](const error_code &Error) {
                          Self->onConnected(Error);
                        });
}

void TargetProbe::onConnected(const error_code &Error) {
  if (Error) {
    fail();
    return;
  }
  error_code Ignored;
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Question_.version(11);
  Question_.method(http::verb::get);
  Question_.target(ProbePath);
  Question_.set(http::field::host, Order_.Address_);
  Question_.keep_alive(false);
  http::async_write(
      Socket_, Question_,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->onWritten(Failure);
      });
}

void TargetProbe::onWritten(const error_code &Error) {
  if (Error) {
    fail();
    return;
  }
  http::async_read(
      Socket_, Input_, Answer_,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->onRead(Failure);
      });
}

void TargetProbe::onRead(const error_code &Error) {
  if (IsDone_)
    return;
  const auto &Message = Answer_.get();
  const auto Report = Error ? std::nullopt : readLoadReport(Message.body());
  if (!Report || Message.result() != http::status::ok) {
    fail();
    return;
  }
  decision::ProbeAnswered Event;
  Event.Probe_ = Order_.Probe_;
  Event.Report_ = *Report;
  const auto StartId = Message.find(protocol::StartIdHeader);
  if (StartId != Message.end())
    Event.StartId_ = readStartId(StartId->value());
  Event.RoundTrip_ = Pool_.now() - Started_;
  finish();
  Pool_.tell(Event);
}

void TargetProbe::fail() {
  if (IsDone_)
    return;
  finish();
  Pool_.tell(decision::ProbeFailed{Order_.Probe_});
}

void TargetProbe::finish() {
  IsDone_ = true;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace cranberryspool::entry
