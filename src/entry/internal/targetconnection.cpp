#include "entry/internal/targetconnection.h"

#include "entry/internal/answerfields.h"
#include "entry/internal/callfields.h"
#include "entry/internal/fieldsof.h"
#include "entry/internal/fieldtext.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/targetconnections.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using calls::AttemptFailure;
using calls::WriteState;
using net::ip::tcp;

namespace {

/// Room for bytes of an answer beyond its head; the head's own limit is set on
/// the parser.
constexpr std::size_t InputBytes = 128 * 1024;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

} // namespace

TargetConnection::TargetConnection(const decision::OpenConnection &Order,
                                   TargetConnections &Pool)
    : Order_(Order), Pool_(Pool), Socket_(Pool.io()), OpenedAsked_(Pool.now()),
      Input_(InputBytes) {}

void TargetConnection::open(const tcp::endpoint &Where) {
  Socket_.async_connect(Where,
                        [Self = shared_from_this()](const error_code &Error) {
                          Self->onOpened(Error);
                        });
}

void TargetConnection::onOpened(const error_code &Error) {
  if (Phase_ == Phase::Closed)
    return;
  if (Error) {
    close();
    Pool_.tell(decision::ConnectionClosed{Order_.Connection_});
    return;
  }
  error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  Phase_ = Phase::Idle;
  awaitReadable();
  Pool_.tell(decision::ConnectionOpened{Order_.Connection_,
                                        Pool_.now() - OpenedAsked_});
}

void TargetConnection::closeIfOverdue(framework::Instant Now) {
  if (Phase_ != Phase::Opening ||
      Now - OpenedAsked_ < Pool_.limits().ConnectTimeout_)
    return;
  close();
  Pool_.tell(decision::ConnectionClosed{Order_.Connection_});
}

/// One wait serves both ends: on an idle connection it shows that the target
/// closed it, on a busy one that the answer begins.
void TargetConnection::awaitReadable() {
  if (IsWaitingForInput_)
    return;
  IsWaitingForInput_ = true;
  Socket_.async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](const error_code &Error) {
                       Self->onReadable(Error);
                     });
}

void TargetConnection::onReadable(const error_code &Error) {
  IsWaitingForInput_ = false;
  if (Phase_ == Phase::Closed)
    return;
  if (Phase_ == Phase::Busy && !Error) {
    readHead();
    return;
  }
  const bool WasBusy = Phase_ == Phase::Busy;
  if (WasBusy) {
    fail(AttemptFailure::ConnectionClosed);
    return;
  }
  close();
  Pool_.tell(decision::ConnectionClosed{Order_.Connection_});
}

void TargetConnection::send(SendRequest Order) {
  Attempt_ = std::move(Order);
  WriteState_ = WriteState::NothingWritten;
  if (Phase_ != Phase::Idle) {
    fail(AttemptFailure::ConnectionClosed);
    return;
  }
  Phase_ = Phase::Busy;
  IsWritten_ = false;
  writeRequest();
  awaitReadable();
}

std::string TargetConnection::attemptIdText() const {
  if (Pool_.shared().Dialect_.IsAttemptIdOfCaller_)
    return Attempt_->Request_->AttemptId_;
  return std::to_string(Attempt_->Attempt_.Attempt_.value());
}

framework::AttemptId
TargetConnection::echoedAttempt(const std::string &Echo) const {
  if (Echo == attemptIdText())
    return Attempt_->Attempt_.Attempt_;
  // An unreadable echo is a wrong one: no attempt has the number 0.
  const bool IsOwnNumber = !Pool_.shared().Dialect_.IsAttemptIdOfCaller_;
  return framework::AttemptId(IsOwnNumber ? parseCount(Echo).value_or(0) : 0);
}

void TargetConnection::writeRequest() {
  const CallerRequest &Source = *Attempt_->Request_;
  const decision::SendAttempt &Attempt = Attempt_->Attempt_;
  Output_.emplace();
  Output_->version(11);
  Output_->method_string(Source.Method_);
  Output_->target(Source.Target_);
  for (const HeaderField &Field : Source.Fields_)
    Output_->insert(Field.Name_, Field.Value_);
  const auto LeftMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Attempt.Timeout_);
  const Dialect &Spoken = Pool_.shared().Dialect_;
  const auto Set = [this](const std::string &Name, const std::string &Value) {
    if (!Name.empty())
      Output_->set(Name, Value);
  };
  Set(Spoken.TimeoutField_, std::to_string(LeftMs.count()));
  Set(Spoken.DepthField_, std::to_string(Attempt.Depth_));
  Set(Spoken.RepeatField_, std::to_string(Attempt.AttemptMark_));
  Set(Spoken.AttemptIdField_, attemptIdText());
  Set(Spoken.ExpectedTargetField_, Attempt.TargetName_.value());
  Output_->body() = {Source.Body_.data(), Source.Body_.size()};
  const bool HasBody = !Source.Body_.empty() ||
                       (Source.Method_ != "GET" && Source.Method_ != "HEAD");
  if (HasBody)
    Output_->content_length(Source.Body_.size());
  Serializer_.emplace(*Output_);
  Serializer_->split(false);
  // From here on bytes may reach the target; only a write that fails without
  // having passed any byte on proves the contrary.
  WriteState_ = WriteState::MaybeWritten;
  http::async_write(
      Socket_, *Serializer_,
      [Self = shared_from_this()](const error_code &Error, std::size_t Bytes) {
        Self->onWritten(Error, Bytes);
      });
}

void TargetConnection::onWritten(const error_code &Error, std::size_t Bytes) {
  if (Phase_ != Phase::Busy)
    return;
  IsWritten_ = true;
  if (!Error)
    return;
  if (Bytes == 0)
    WriteState_ = WriteState::NothingWritten;
  fail(failureOf(Error));
}

void TargetConnection::readHead() {
  const bool IsFirst = !Parser_.has_value();
  Parser_.emplace();
  Parser_->header_limit(static_cast<std::uint32_t>(Pool_.limits().HeadBytes_));
  Parser_->body_limit(Pool_.limits().BodyBytes_);
  Parser_->skip(Attempt_->Request_->Method_ == "HEAD");
  if (IsFirst)
    Pool_.tell(
        decision::AnswerBegan{Attempt_->Attempt_.Attempt_, Order_.Connection_});
  http::async_read_header(
      Socket_, Input_, *Parser_,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->onHead(Error);
      });
}

void TargetConnection::onHead(const error_code &Error) {
  if (Phase_ != Phase::Busy)
    return;
  if (Error) {
    fail(failureOf(Error));
    return;
  }
  const auto &Head = Parser_->get();
  if (Head.result_int() < FirstFinalStatus) {
    readHead();
    return;
  }
  // Taken before the body is read: trailers must not become header fields.
  Fields_ = fieldsOf(Head);
  // An answer that ends when the connection does cannot be told from one that
  // was cut short, unless targets are known to reset what they cut short.
  const bool HasLength = Parser_->chunked() || Parser_->content_length() ||
                         Head.result_int() == NoContent ||
                         Head.result_int() == NotModified ||
                         Attempt_->Request_->Method_ == "HEAD";
  if (!HasLength && !Pool_.shared().Dialect_.MayAnswersEndByClose_) {
    fail(AttemptFailure::Malformed);
    return;
  }
  readBody();
}

void TargetConnection::readBody() {
  std::size_t Bytes = 0;
  if (Parser_->chunked())
    Bytes = Pool_.limits().BodyBytes_;
  else if (Parser_->content_length() && !Parser_->is_done())
    Bytes = *Parser_->content_length();
  if (!Reservation_.tryReserve(Pool_.shared().AnswerBytes_, Bytes)) {
    Pool_.waitForBudget(Order_.Connection_);
    return;
  }
  http::async_read(
      Socket_, Input_, *Parser_,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->onBody(Error);
      });
}

void TargetConnection::retryBody() {
  if (Phase_ == Phase::Busy)
    readBody();
}

void TargetConnection::onBody(const error_code &Error) {
  if (Phase_ != Phase::Busy)
    return;
  if (Error) {
    fail(failureOf(Error));
    return;
  }
  finishAnswer();
}

void TargetConnection::finishAnswer() {
  auto Message = Parser_->release();
  Parser_.reset();
  const std::vector<HeaderField> Fields = std::move(Fields_);
  auto Answer = std::make_shared<TargetAnswer>();
  Answer->Status_ = Message.result_int();
  const Dialect &Spoken = Pool_.shared().Dialect_;
  const AnswerHead Head = readAnswerFields(Fields, Spoken);
  if (isForeign(Head, Message.result_int())) {
    fail(AttemptFailure::Malformed);
    return;
  }
  Answer->Fields_ = forwardableAnswerFields(Fields, Spoken);
  Answer->Body_ = std::move(Message.body());
  Reservation_.shrink(Answer->Body_.size());
  Answer->Reservation_ = std::move(Reservation_);
  Reservation_ = framework::ByteReservation();

  decision::AttemptAnswered Event;
  Event.Attempt_ = Attempt_->Attempt_.Attempt_;
  Event.Connection_ = Order_.Connection_;
  Event.Status_ = Answer->Status_;
  if (Head.AttemptId_)
    Event.EchoedAttempt_ = echoedAttempt(*Head.AttemptId_);
  Event.IsNotRun_ = Head.IsNotRun_ || isMisdirected(Answer->Status_);
  Event.StartId_ = Head.StartId_;
  Event.Report_ = Head.Report_;
  Event.IsReusable_ = Message.keep_alive() && IsWritten_ && Input_.size() == 0;
  if (Event.IsReusable_) {
    Attempt_.reset();
    Serializer_.reset();
    Output_.reset();
    Phase_ = Phase::Idle;
    awaitReadable();
  } else {
    // A write that goes on still uses the request.
    close();
  }
  Pool_.tell(Event, std::move(Answer));
}

/// True for a success that the target cannot have given.
bool TargetConnection::isForeign(const AnswerHead &Head,
                                 unsigned Status) const {
  const Dialect &Spoken = Pool_.shared().Dialect_;
  if (Spoken.ProofField_.empty() || Status / 100 != 2)
    return false;
  return !Head.HasProof_ || Head.IsEncoded_;
}

bool TargetConnection::isMisdirected(unsigned Status) const {
  const unsigned Misdirected = Pool_.shared().Dialect_.MisdirectedStatus_;
  return Misdirected != 0 && Status == Misdirected;
}

void TargetConnection::fail(AttemptFailure Failure) {
  decision::AttemptFailed Event;
  Event.Attempt_ = Attempt_->Attempt_.Attempt_;
  Event.Connection_ = Order_.Connection_;
  Event.Failure_ = Failure;
  Event.Written_ = WriteState_;
  close();
  Pool_.tell(Event);
}

void TargetConnection::abandon() { close(); }

void TargetConnection::close() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  Reservation_ = framework::ByteReservation();
  error_code Ignored;
  Socket_.close(Ignored);
  Pool_.remove(Order_.Connection_);
}

AttemptFailure TargetConnection::failureOf(const error_code &Error) const {
  if (Error == http::error::body_limit || Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return AttemptFailure::AnswerTooLarge;
  if (Error == http::error::partial_message)
    return AttemptFailure::Truncated;
  if (Error == http::error::end_of_stream || Error == net::error::eof)
    return AttemptFailure::ConnectionClosed;
  if (Error.category() ==
      http::make_error_code(http::error::end_of_stream).category())
    return AttemptFailure::Malformed;
  const bool HasBegun = Parser_ && Parser_->got_some();
  return HasBegun ? AttemptFailure::Truncated : AttemptFailure::ConnectionReset;
}

} // namespace cranberryspool::entry
