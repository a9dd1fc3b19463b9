#include "entry/internal/callersession.h"

#include "entry/internal/callerserver.h"
#include "entry/internal/callfields.h"
#include "entry/internal/endingstatus.h"
#include "entry/internal/fieldsof.h"
#include "entry/internal/headshape.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/retryafter.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadBytes = 4 * 1024;
constexpr std::size_t BodyReadBytes = 64 * 1024;
/// A chunk's head, extensions included, or a trailer, must fit in this.
constexpr std::size_t ChunkHeadBytes = 16 * 1024;
/// Requests that are read before the first of them is answered.
constexpr std::size_t MaxExchanges = 16;
/// Bytes of requests that wait unread until answers have left.
constexpr std::size_t MaxWaitingBytes = 64 * 1024;
constexpr framework::Duration LingerTime = std::chrono::seconds(1);
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view viewOf(const beast::flat_buffer &Buffer) {
  return {static_cast<const char *>(Buffer.data().data()), Buffer.size()};
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

CallerSession::CallerSession(net::ip::tcp::socket Socket, std::uint64_t Number,
                             CallerServer &Server)
    : Socket_(std::move(Socket)), Number_(Number), Server_(Server) {}

void CallerSession::start() { awaitNextRequest(); }

bool CallerSession::mayReadAhead() const {
  if (IsLast_ || Exchanges_.size() >= MaxExchanges)
    return false;
  // The last answer closes the connection, so that nothing follows it.
  return Exchanges_.empty() || !Server_.isWindingDown();
}

void CallerSession::awaitNextRequest() {
  Request_ = CallerRequest();
  Searched_ = 0;
  if (!mayReadAhead()) {
    Phase_ = Phase::Full;
    Deadline_ = framework::Instant::max();
    readMore();
    return;
  }
  Phase_ = Phase::Idle;
  if (Exchanges_.empty())
    setDeadline(Server_.callerLimits().idleTimeout());
  else
    Deadline_ = framework::Instant::max();
  continueWithInput();
}

void CallerSession::readMore() {
  if (IsReading_ || isClosed())
    return;
  // Reading goes on while requests are answered: it shows that the caller is
  // gone.
  if (Phase_ == Phase::Full && Input_.size() >= MaxWaitingBytes)
    return;
  if (Input_.size() == 0 && Phase_ != Phase::Body)
    Input_ = beast::flat_buffer();
  IsReading_ = true;
  const std::size_t Bytes = Phase_ == Phase::Body ? BodyReadBytes : ReadBytes;
  Socket_.async_read_some(
      Input_.prepare(Bytes),
      [Self = shared_from_this()](const error_code &Error, std::size_t Count) {
        Self->onRead(Error, Count);
      });
}

void CallerSession::onRead(const error_code &Error, std::size_t Bytes) {
  IsReading_ = false;
  if (isClosed())
    return;
  if (Error) {
    // A caller that ends its side after its last request gets its answer.
    if (Serializer_ && Exchanges_.size() == 1)
      Exchanges_.front().IsKeptAlive_ = false;
    else
      close();
    return;
  }
  Input_.commit(Bytes);
  if (Phase_ == Phase::Lingering) {
    Input_.clear();
    readMore();
    return;
  }
  continueWithInput();
}

void CallerSession::continueWithInput() {
  if (Phase_ == Phase::Idle && Input_.size() > 0) {
    Phase_ = Phase::Head;
    setDeadline(Server_.callerLimits().headTimeout());
  }
  if (Phase_ == Phase::Head)
    continueHead();
  else if (Phase_ == Phase::Body)
    continueBody();
  else
    readMore();
}

void CallerSession::continueHead() {
  const std::string_view Seen = viewOf(Input_);
  const std::size_t Limit = Server_.callerLimits().headBytes();
  const std::size_t End = Seen.find(HeadEnd, Searched_);
  if (End != std::string_view::npos && End + HeadEnd.size() <= Limit) {
    acceptHead(Seen.substr(0, End + HeadEnd.size()));
    return;
  }
  if (Seen.size() > Limit) {
    refuseRequest(431, "head-too-large");
    return;
  }
  Searched_ = Seen.size() < HeadEnd.size() ? 0 : Seen.size() - HeadEnd.size();
  readMore();
}

void CallerSession::acceptHead(std::string_view Raw) {
  if (const auto Shape = checkHeadShape(Raw); !Shape) {
    refuseHead(Shape.error());
    return;
  }
  Parser_.emplace();
  Parser_->header_limit(static_cast<std::uint32_t>(Raw.size() + 1));
  Parser_->body_limit(Server_.callerLimits().bodyBytes());
  error_code Error;
  const std::size_t Used =
      Parser_->put(net::buffer(Raw.data(), Raw.size()), Error);
  if (Error == http::error::body_limit) {
    refuseRequest(413, "body-too-large");
    return;
  }
  if (Error) {
    refuseRequest(400, "bad-request");
    return;
  }
  const auto &Message = Parser_->get();
  IsKeptAlive_ = Message.keep_alive();
  IsHeadRequest_ = Message.method() == http::verb::head;
  Request_.Method_ = std::string(Message.method_string());
  Request_.Target_ = std::string(Message.target());
  // Taken before the body is read: trailers must not become header fields.
  const std::vector<HeaderField> Fields = fieldsOf(Message);
  const Dialect &Spoken = Server_.shared().Dialect_;
  const auto Head = readCallFields(Fields, Spoken);
  if (!Head) {
    refuseHead(Head.error());
    return;
  }
  Request_.Fields_ = forwardableRequestFields(Fields, Spoken);
  Request_.AttemptId_ = Head.value().AttemptId_;
  Arrival_ = decision::CallArrived();
  Arrival_.Method_ = Request_.Method_;
  Arrival_.Path_ = std::string(pathOf(Request_.Target_));
  Arrival_.Host_ = std::string(Message[http::field::host]);
  Arrival_.Urgency_ = Head.value().Urgency_;
  Arrival_.Timeout_ = Head.value().Timeout_;
  Arrival_.Key_ = Head.value().Key_;
  Arrival_.Depth_ = Head.value().Depth_;
  Arrival_.Attempt_ = Head.value().Attempt_;
  const bool IsContinueAwaited =
      beast::iequals(Message[http::field::expect], "100-continue");
  Input_.consume(Used);
  if (!reserveBody())
    return;
  Phase_ = Phase::Body;
  setDeadline(Server_.limits().BodyTimeout_);
  if (IsContinueAwaited && Input_.size() == 0 && !Parser_->is_done()) {
    error_code Ignored;
    Socket_.write_some(net::buffer(Continue.data(), Continue.size()), Ignored);
  }
  continueBody();
}

bool CallerSession::reserveBody() {
  std::size_t Bytes = 0;
  if (Parser_->chunked())
    Bytes = Server_.callerLimits().bodyBytes();
  else if (Parser_->content_length())
    Bytes = *Parser_->content_length();
  if (Request_.Reservation_.tryReserve(Server_.shared().RequestBytes_, Bytes))
    return true;
  answerNotRun(503, "overloaded", false);
  return false;
}

void CallerSession::continueBody() {
  Parser_->eager(true);
  error_code Error;
  while (!Parser_->is_done() && Input_.size() > 0) {
    const std::size_t Used = Parser_->put(Input_.data(), Error);
    Input_.consume(Used);
    if (Error == http::error::need_more) {
      Error = {};
      if (Input_.size() > ChunkHeadBytes)
        Error = http::error::bad_chunk;
      else
        break;
    }
    if (!Error)
      continue;
    if (Error == http::error::body_limit)
      refuseRequest(413, "body-too-large");
    else
      refuseRequest(400, "bad-body");
    return;
  }
  if (Parser_->is_done())
    deliver();
  else
    readMore();
}

void CallerSession::deliver() {
  Request_.Body_ = std::move(Parser_->get().body());
  Request_.Reservation_.shrink(Request_.Body_.size());
  Parser_.reset();
  Arrival_.BodyBytes_ = Request_.Body_.size();
  const auto Call =
      Server_.accept(Number_, std::move(Arrival_), std::move(Request_));
  if (!Call) {
    answerNotRun(503, "overloaded", true);
    return;
  }
  IsLast_ = !IsKeptAlive_;
  Exchanges_.push_back(Exchange{.Call_ = Call,
                                .IsHeadRequest_ = IsHeadRequest_,
                                .IsKeptAlive_ = IsKeptAlive_,
                                .Answer_ = std::nullopt,
                                .Source_ = nullptr});
  awaitNextRequest();
}

Exchange *CallerSession::find(framework::CallId Call) {
  const auto Position =
      std::find_if(Exchanges_.begin(), Exchanges_.end(),
                   [&](const Exchange &Each) { return Each.Call_ == Call; });
  return Position == Exchanges_.end() ? nullptr : &*Position;
}

void CallerSession::giveAnswer(framework::CallId Call,
                               std::shared_ptr<const TargetAnswer> Answer) {
  Exchange *Owner = isClosed() ? nullptr : find(Call);
  if (!Owner)
    return;
  Owner->Call_.reset();
  Owner->Source_ = std::move(Answer);
  const TargetAnswer &Source = *Owner->Source_;
  Response Message = startResponse(Source.Status_);
  for (const HeaderField &Field : Source.Fields_) {
    if (Owner->IsHeadRequest_ || !beast::iequals(Field.Name_, "Content-Length"))
      Message.insert(Field.Name_, Field.Value_);
  }
  const Dialect &Spoken = Server_.shared().Dialect_;
  if (!Spoken.EndingField_.empty())
    Message.set(Spoken.EndingField_, nameOf(calls::Ending::Answered));
  Message.body() = {Source.Body_.data(), Source.Body_.size()};
  const bool HasNoBody =
      Owner->IsHeadRequest_ || Source.Status_ == 204 || Source.Status_ == 304;
  if (!HasNoBody)
    Message.content_length(Source.Body_.size());
  Owner->Answer_ = std::move(Message);
  writeNext();
}

void CallerSession::giveRefusal(const decision::RefuseCall &Refusal) {
  Exchange *Owner = isClosed() ? nullptr : find(Refusal.Call_);
  if (!Owner)
    return;
  Owner->Call_.reset();
  const Dialect &Spoken = Server_.shared().Dialect_;
  Response Message = startResponse(statusOf(Refusal.Ending_, Refusal.Reason_));
  if (!Spoken.EndingField_.empty()) {
    Message.set(Spoken.EndingField_, nameOf(Refusal.Ending_));
    Message.set(Spoken.EndingReasonField_, nameOf(Refusal.Reason_));
  }
  const bool IsUnavailable =
      Message.result_int() == 503 || Message.result_int() == 429;
  if (IsUnavailable || Refusal.RetryAfter_ > framework::Duration::zero())
    Message.set(http::field::retry_after,
                retryAfterText(Refusal.RetryAfter_, Spoken));
  Message.content_length(0);
  Owner->Answer_ = std::move(Message);
  writeNext();
}

void CallerSession::refuseHead(HeadFault Fault) {
  refuseRequest(statusOf(Fault), nameOf(Fault));
}

/// The request cannot be read to its end: the connection closes after this.
void CallerSession::refuseRequest(unsigned Status, std::string_view Reason) {
  answerNotRun(Status, Reason, false);
}

void CallerSession::answerNotRun(unsigned Status, std::string_view Reason,
                                 bool MayGoOn) {
  IsKeptAlive_ = IsKeptAlive_ && MayGoOn;
  IsLast_ = !IsKeptAlive_;
  Parser_.reset();
  Request_ = CallerRequest();
  const Dialect &Spoken = Server_.shared().Dialect_;
  Response Message = startResponse(Status);
  if (!Spoken.EndingField_.empty()) {
    Message.set(Spoken.EndingField_, nameOf(calls::Ending::NotRun));
    Message.set(Spoken.EndingReasonField_, Reason);
  }
  if (Status == 503)
    Message.set(http::field::retry_after,
                retryAfterText(std::chrono::milliseconds(100), Spoken));
  Message.content_length(0);
  Exchanges_.push_back(Exchange{.Call_ = std::nullopt,
                                .IsHeadRequest_ = IsHeadRequest_,
                                .IsKeptAlive_ = IsKeptAlive_,
                                .Answer_ = std::move(Message),
                                .Source_ = nullptr});
  // Set first: the write may end the connection.
  Phase_ = Phase::Full;
  Deadline_ = framework::Instant::max();
  writeNext();
}

CallerSession::Response CallerSession::startResponse(unsigned Status) const {
  Response Message;
  Message.version(11);
  Message.result(Status);
  return Message;
}

void CallerSession::writeNext() {
  if (isClosed() || Serializer_ || Exchanges_.empty() ||
      !Exchanges_.front().Answer_)
    return;
  Exchange &Next = Exchanges_.front();
  WriteDeadline_ = Server_.now() + Server_.limits().WriteTimeout_;
  // An answer may close the connection only when no request that was passed
  // on, or is being read, stands behind it.
  const bool IsIdleBehind =
      Exchanges_.size() == 1 && Phase_ != Phase::Head && Phase_ != Phase::Body;
  if (Server_.isWindingDown() && IsIdleBehind)
    Next.IsKeptAlive_ = false;
  if (!Next.IsKeptAlive_)
    IsLast_ = true;
  Next.Answer_->keep_alive(Next.IsKeptAlive_);
  Serializer_.emplace(*Next.Answer_);
  Serializer_->split(false);
  http::async_write(
      Socket_, *Serializer_,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void CallerSession::onWritten(const error_code &Error) {
  Serializer_.reset();
  WriteDeadline_ = framework::Instant::max();
  if (isClosed())
    return;
  const bool IsKeptAlive = Exchanges_.front().IsKeptAlive_;
  Exchanges_.pop_front();
  if (Error) {
    close();
    return;
  }
  if (!IsKeptAlive) {
    linger();
    return;
  }
  writeNext();
  if (Phase_ == Phase::Full)
    awaitNextRequest();
  else if (Phase_ == Phase::Idle && Exchanges_.empty())
    setDeadline(Server_.callerLimits().idleTimeout());
}

/// Lets the caller read the last answer before the connection goes: closing
/// with unread input would reset it.
void CallerSession::linger() {
  Phase_ = Phase::Lingering;
  error_code Ignored;
  Socket_.shutdown(net::ip::tcp::socket::shutdown_send, Ignored);
  Input_.clear();
  setDeadline(LingerTime);
  readMore();
}

void CallerSession::finish() {
  IsLast_ = IsLast_ || !Exchanges_.empty();
  if (Phase_ == Phase::Idle && Exchanges_.empty() && Socket_.available() == 0)
    close();
}

void CallerSession::closeIfOverdue(framework::Instant Now) {
  if (Now >= WriteDeadline_) {
    close();
    return;
  }
  if (Now < Deadline_)
    return;
  if (Phase_ == Phase::Head || Phase_ == Phase::Body) {
    refuseRequest(408, "request-too-slow");
    return;
  }
  close();
}

void CallerSession::setDeadline(framework::Duration FromNow) {
  Deadline_ = Server_.now() + FromNow;
}

void CallerSession::close() {
  if (isClosed())
    return;
  Phase_ = Phase::Closed;
  error_code Ignored;
  Socket_.close(Ignored);
  for (const Exchange &Each : Exchanges_)
    if (Each.Call_)
      Server_.noteGone(*Each.Call_);
  Server_.remove(Number_);
}

} // namespace cranberryspool::entry
