#include "entry/internal/targetconnection.h"

#include "entry/internal/callfields.h"
#include "entry/internal/copyfields.h"
#include "entry/internal/fieldtext.h"
#include "entry/internal/forwardedbyfield.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/readpart.h"
#include "entry/internal/responsefields.h"
#include "entry/internal/statuscode.h"
#include "entry/internal/targetconnectionpool.h"
#include "protocol/headers.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using calls::AttemptFailure;
using calls::WriteState;
using net::ip::tcp;

namespace {

/// The input that a connection may hold without a reservation.
constexpr std::size_t SmallInputBytes = 4 * 1024;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

} // namespace

TargetConnection::TargetConnection(const decision::OpenConnection &Command,
                                   TargetConnectionPool &Pool)
    : OpenCommand_(Command), Pool_(Pool), Socket_(Pool.io()),
      ConnectStartedAt_(Pool.now()), Input_(SmallInputBytes) {}

void TargetConnection::connect(const tcp::endpoint &Remote) {
  Socket_.async_connect(Remote,
                        [Self = shared_from_this()](const error_code &Error) {
                          Self->onConnected(Error);
                        });
}

void TargetConnection::onConnected(const error_code &Error) {
  if (Phase_ == Phase::Closed)
    return;
  if (Error) {
    close();
    Pool_.postEvent(decision::ConnectionClosed{
        OpenCommand_.Connection_, Error == net::error::connection_refused});
    return;
  }
  error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  Phase_ = Phase::Idle;
  awaitReadable();
  Pool_.postEvent(decision::ConnectionOpened{OpenCommand_.Connection_,
                                             Pool_.now() - ConnectStartedAt_});
}

void TargetConnection::closeIfTimedOut(framework::Instant Now) {
  if (Phase_ != Phase::Connecting ||
      Now - ConnectStartedAt_ < Pool_.limits().ConnectTimeout_)
    return;
  close();
  Pool_.postEvent(decision::ConnectionClosed{OpenCommand_.Connection_});
}

/// Waits for input. On an idle connection input means that the target closed
/// it, on a busy one that the response begins.
void TargetConnection::awaitReadable() {
  if (IsAwaitingReadable_)
    return;
  IsAwaitingReadable_ = true;
  Socket_.async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](const error_code &Error) {
                       Self->onReadable(Error);
                     });
}

void TargetConnection::onReadable(const error_code &Error) {
  IsAwaitingReadable_ = false;
  if (Phase_ == Phase::Closed)
    return;
  if (Phase_ == Phase::Busy && !Error) {
    Framing_ = FramingLimit(Pool_.limits().HeadBytes_);
    Pool_.postEvent(decision::AnswerBegan{Attempt_->Attempt_.Attempt_,
                                          OpenCommand_.Connection_});
    startHead();
    return;
  }
  const bool WasBusy = Phase_ == Phase::Busy;
  if (WasBusy) {
    fail(AttemptFailure::ConnectionClosed);
    return;
  }
  close();
  Pool_.postEvent(decision::ConnectionClosed{OpenCommand_.Connection_});
}

void TargetConnection::send(SendRequest Command) {
  Attempt_ = std::move(Command);
  WriteState_ = WriteState::NothingWritten;
  if (Phase_ != Phase::Idle) {
    fail(AttemptFailure::ConnectionClosed);
    return;
  }
  Phase_ = Phase::Busy;
  IsRequestWritten_ = false;
  writeRequest();
  awaitReadable();
}

std::string TargetConnection::attemptIdText() const {
  if (Pool_.state().HttpProfile_.IsCallerAttemptIdUsed_)
    return Attempt_->Request_->AttemptId_;
  return std::to_string(Attempt_->Attempt_.Attempt_.value());
}

framework::AttemptId
TargetConnection::echoedAttempt(const std::string &EchoedId) const {
  if (EchoedId == attemptIdText())
    return Attempt_->Attempt_.Attempt_;
  // An unreadable echo counts as a mismatch: no attempt has the id 0.
  const bool IsOwnAttemptId =
      !Pool_.state().HttpProfile_.IsCallerAttemptIdUsed_;
  return framework::AttemptId(
      IsOwnAttemptId ? parseUnsigned(EchoedId).value_or(0) : 0);
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
  if (Attempt.IsCredentialForwarded_)
    for (const HeaderField &Field : Source.CredentialFields_)
      Output_->insert(Field.Name_, Field.Value_);
  const auto RemainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Attempt.Timeout_);
  const HttpProfile &Profile = Pool_.state().HttpProfile_;
  const auto SetField = [this](const std::string &Name,
                               const std::string &Value) {
    if (!Name.empty() && !Value.empty())
      Output_->set(Name, Value);
  };
  SetField(Profile.TimeoutField_, std::to_string(RemainingMs.count()));
  SetField(Profile.DepthField_, std::to_string(Attempt.Depth_));
  SetField(Profile.AttemptNumberField_, std::to_string(Attempt.AttemptMark_));
  SetField(Profile.AttemptIdField_, attemptIdText());
  SetField(Profile.ExpectedTargetField_, Attempt.TargetName_.value());
  if (Attempt.ForwardedBy_) {
    Output_->set(std::string(protocol::ForwardedByHeader),
                 toText(*Attempt.ForwardedBy_));
    // The other instance trusts this field, so a caller's own must not reach
    // it.
    Output_->erase(std::string(protocol::ForwardedWorkspaceHeader));
    SetField(std::string(protocol::ForwardedWorkspaceHeader),
             Attempt.Workspace_.value());
  } else {
    SetField(Profile.WorkspaceField_, Attempt.Workspace_.value());
  }
  Output_->body() = {Source.Body_.data(), Source.Body_.size()};
  const bool HasBody = !Source.Body_.empty() ||
                       (Source.Method_ != "GET" && Source.Method_ != "HEAD");
  if (HasBody)
    Output_->content_length(Source.Body_.size());
  Serializer_.emplace(*Output_);
  Serializer_->split(false);
  // From here on the target may have received bytes, unless the write fails
  // before its first byte.
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
  IsRequestWritten_ = true;
  if (!Error)
    return;
  if (Bytes == 0)
    WriteState_ = WriteState::NothingWritten;
  fail(classifyError(Error));
}

void TargetConnection::startHead() {
  Parser_.emplace();
  Parser_->header_limit(static_cast<std::uint32_t>(Pool_.limits().HeadBytes_));
  Parser_->body_limit(Pool_.limits().BodyBytes_);
  Parser_->skip(Attempt_->Request_->Method_ == "HEAD");
  // A buffer without room would first be filled in small parts.
  Input_.reserve(SmallInputBytes);
  readHead();
}

void TargetConnection::readHead() {
  http::async_read_header(
      Socket_, Input_, *Parser_,
      [Self = shared_from_this()](const error_code &Error, std::size_t Bytes) {
        Self->onHeadRead(Error, Bytes);
      });
}

void TargetConnection::onHeadRead(const error_code &Error, std::size_t Bytes) {
  if (Phase_ != Phase::Busy)
    return;
  Framing_.add(Bytes);
  if (Error == http::error::buffer_overflow && !isInputEnlarged()) {
    if (tryEnlargeInput())
      readHead();
    else
      awaitRoom();
    return;
  }
  if (Error) {
    fail(classifyError(Error));
    return;
  }
  const unsigned Status = Parser_->get().result_int();
  if (!isStatusCode(Status))
    fail(AttemptFailure::Malformed);
  else if (Status >= FirstFinalStatus)
    acceptHead();
  else if (Framing_.isExceeded(0))
    fail(AttemptFailure::AnswerTooLarge);
  else
    startHead();
}

void TargetConnection::acceptHead() {
  const auto &Head = Parser_->get();
  // Copied before the body is read, since the parser adds trailer fields to the
  // same list; trailers must not become header fields.
  Fields_ = copyFields(Head);
  // A response delimited by the close of its connection looks the same when it
  // is truncated, unless targets are known to reset connections in that case.
  const bool HasLength = Parser_->chunked() || Parser_->content_length() ||
                         Head.result_int() == NoContent ||
                         Head.result_int() == NotModified ||
                         Attempt_->Request_->Method_ == "HEAD";
  if (!HasLength && !Pool_.state().HttpProfile_.IsCloseDelimitedBodyAllowed_) {
    fail(AttemptFailure::Malformed);
    return;
  }
  Framing_ = FramingLimit(Pool_.limits().HeadBytes_);
  Parser_->eager(true);
  readBody();
}

void TargetConnection::readBody() {
  if (Parser_->is_done()) {
    finishResponse();
    return;
  }
  const std::size_t Bytes = bodyBytesAfterRead();
  // Without room for more input the body is read in smaller parts.
  if (Bytes > SmallInputBytes && tryEnlargeInput())
    Input_.reserve(std::min(Bytes, Input_.max_size()));
  if (!Pool_.tryReserveBody(OpenCommand_.Connection_, Reservation_, Bytes)) {
    awaitRoom();
    return;
  }
  if (const error_code Error = parseInput(Input_, *Parser_, Framing_))
    fail(classifyError(Error));
  else if (Parser_->is_done())
    finishResponse();
  else
    readPart(Socket_, Input_, *Parser_, Framing_,
             [Self = shared_from_this()](const error_code &ReadError) {
               Self->onBodyRead(ReadError);
             });
}

std::size_t TargetConnection::bodyBytesAfterRead() const {
  const std::size_t LargestRead = Pool_.limits().HeadBytes_ + SmallInputBytes;
  const std::size_t Bytes = Parser_->get().body().size() + LargestRead;
  const std::size_t Most =
      Parser_->chunked() || !Parser_->content_length()
          ? Pool_.limits().BodyBytes_
          : static_cast<std::size_t>(*Parser_->content_length());
  return std::min(Bytes, Most);
}

void TargetConnection::onBodyRead(const error_code &Error) {
  if (Phase_ != Phase::Busy)
    return;
  const bool IsInputFull =
      Error == http::error::buffer_overflow && !isInputEnlarged();
  if (IsInputFull && !tryEnlargeInput())
    awaitRoom();
  else if (Error && !IsInputFull)
    fail(classifyError(Error));
  else
    readBody();
}

bool TargetConnection::isInputEnlarged() const {
  return Input_.max_size() > SmallInputBytes;
}

bool TargetConnection::tryEnlargeInput() {
  const std::size_t Bytes = Pool_.limits().HeadBytes_ + SmallInputBytes;
  if (!InputReservation_.tryGrow(Pool_.state().InputBytes_, Bytes))
    return false;
  Input_.max_size(Bytes);
  return true;
}

void TargetConnection::resetInput() {
  Input_ = boost::beast::flat_buffer(SmallInputBytes);
  InputReservation_ = framework::ByteReservation();
}

void TargetConnection::awaitRoom() {
  IsAwaitingRoom_ = true;
  Pool_.awaitBudget(OpenCommand_.Connection_);
}

void TargetConnection::retryRead() {
  if (Phase_ != Phase::Busy || !std::exchange(IsAwaitingRoom_, false))
    return;
  if (Parser_->is_header_done())
    readBody();
  else if (isInputEnlarged() || tryEnlargeInput())
    readHead();
  else
    awaitRoom();
}

void TargetConnection::finishResponse() {
  Pool_.stopWaiting(OpenCommand_.Connection_);
  // False for a response that ends with its connection.
  const bool IsKeptAlive = Parser_->keep_alive();
  auto Message = Parser_->release();
  Parser_.reset();
  const std::vector<HeaderField> Fields = std::move(Fields_);
  auto Response = std::make_shared<TargetResponse>();
  Response->Status_ = Message.result_int();
  const HttpProfile &Profile = Pool_.state().HttpProfile_;
  const ResponseMetadata Metadata = readResponseFields(Fields, Profile);
  if (isUnverified(Metadata, Message.result_int())) {
    fail(AttemptFailure::Malformed);
    return;
  }
  Response->Fields_ = forwardableResponseFields(Fields, Profile);
  Response->Body_ = std::move(Message.body());
  Reservation_.shrink(Response->Body_.size());
  Response->Reservation_ = std::move(Reservation_);
  Reservation_ = framework::ByteReservation();

  decision::AttemptAnswered Event;
  Event.Attempt_ = Attempt_->Attempt_.Attempt_;
  Event.Connection_ = OpenCommand_.Connection_;
  Event.Status_ = Response->Status_;
  if (Metadata.AttemptId_)
    Event.EchoedAttempt_ = echoedAttempt(*Metadata.AttemptId_);
  Event.IsNotRun_ = Metadata.IsNotRun_ || isMisdirected(Response->Status_);
  Event.StartId_ = Metadata.StartId_;
  if (!Event.IsNotRun_ || Metadata.RequestLimit_)
    Event.RequestLimit_ = statedRequestLimit(Metadata, Profile);
  Event.Report_ = Metadata.Report_;
  if (Event.Report_)
    Event.Report_->RequestLimit_ = Event.RequestLimit_;
  Event.IsReusable_ = IsKeptAlive && IsRequestWritten_ && Input_.size() == 0;
  if (Event.IsReusable_) {
    Attempt_.reset();
    Serializer_.reset();
    Output_.reset();
    if (isInputEnlarged())
      resetInput();
    Phase_ = Phase::Idle;
    awaitReadable();
  } else {
    // The request is kept, since an unfinished write still refers to it.
    close();
  }
  Pool_.postEvent(Event, std::move(Response));
}

/// Returns true for a successful response that lacks the target's signature, or
/// has a content coding that no request asked for: something between instance
/// and target produced or altered it.
bool TargetConnection::isUnverified(const ResponseMetadata &Metadata,
                                    unsigned Status) const {
  const HttpProfile &Profile = Pool_.state().HttpProfile_;
  if (Profile.SignatureField_.empty() || Status / 100 != 2)
    return false;
  return !Metadata.HasSignature_ || Metadata.IsEncoded_;
}

bool TargetConnection::isMisdirected(unsigned Status) const {
  const unsigned MisdirectedStatus =
      Pool_.state().HttpProfile_.MisdirectedStatus_;
  return MisdirectedStatus != 0 && Status == MisdirectedStatus;
}

void TargetConnection::fail(AttemptFailure Failure) {
  decision::AttemptFailed Event;
  Event.Attempt_ = Attempt_->Attempt_.Attempt_;
  Event.Connection_ = OpenCommand_.Connection_;
  Event.Failure_ = Failure;
  Event.Written_ = WriteState_;
  close();
  Pool_.postEvent(Event);
}

void TargetConnection::closeSilently() { close(); }

void TargetConnection::close() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  Reservation_ = framework::ByteReservation();
  InputReservation_ = framework::ByteReservation();
  error_code Ignored;
  Socket_.close(Ignored);
  Pool_.remove(OpenCommand_.Connection_);
}

AttemptFailure TargetConnection::classifyError(const error_code &Error) const {
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
  const bool HasReceivedBytes = Parser_ && Parser_->got_some();
  return HasReceivedBytes ? AttemptFailure::Truncated
                          : AttemptFailure::ConnectionReset;
}

} // namespace cranberryspool::entry
