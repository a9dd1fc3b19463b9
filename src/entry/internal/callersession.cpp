#include "entry/internal/callersession.h"

#include "entry/internal/callerserver.h"
#include "entry/internal/callfields.h"
#include "entry/internal/endingstatus.h"
#include "entry/internal/headshape.h"
#include "protocol/headers.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

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

void CallerSession::awaitNextRequest() {
  Phase_ = Phase::Idle;
  Request_ = CallerRequest();
  Searched_ = 0;
  setDeadline(Server_.limits().IdleTimeout_);
  continueWithInput();
}

void CallerSession::readMore() {
  if (IsReading_ || isClosed())
    return;
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
    if (Phase_ != Phase::Writing)
      close();
    else
      IsKeptAlive_ = false;
    return;
  }
  Input_.commit(Bytes);
  if (IsLingering_) {
    Input_.clear();
    readMore();
    return;
  }
  continueWithInput();
}

void CallerSession::continueWithInput() {
  if (Phase_ == Phase::Idle && Input_.size() > 0) {
    Phase_ = Phase::Head;
    setDeadline(Server_.limits().HeadTimeout_);
  }
  if (Phase_ == Phase::Head)
    continueHead();
  else if (Phase_ == Phase::Body)
    continueBody();
  else if (Phase_ == Phase::Idle)
    readMore();
}

void CallerSession::continueHead() {
  const std::string_view Seen = viewOf(Input_);
  const std::size_t End = Seen.find(HeadEnd, Searched_);
  if (End != std::string_view::npos &&
      End + HeadEnd.size() <= Server_.limits().HeadBytes_) {
    acceptHead(Seen.substr(0, End + HeadEnd.size()));
    return;
  }
  if (Seen.size() > Server_.limits().HeadBytes_) {
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
  Parser_->body_limit(Server_.limits().BodyBytes_);
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
  std::vector<HeaderField> Fields;
  for (const auto &Field : Message)
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  const auto Head = readCallFields(Fields);
  if (!Head) {
    refuseHead(Head.error());
    return;
  }
  Request_.Fields_ = forwardableRequestFields(Fields);
  Arrival_ = decision::CallArrived();
  Arrival_.Method_ = Request_.Method_;
  Arrival_.Path_ = std::string(pathOf(Request_.Target_));
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
    Bytes = Server_.limits().BodyBytes_;
  else if (Parser_->content_length())
    Bytes = *Parser_->content_length();
  if (Request_.Reservation_.take(Server_.shared().RequestBytes_, Bytes))
    return true;
  IsKeptAlive_ = false;
  answerNotRun(503, "overloaded", true);
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
  Deadline_ = framework::Instant::max();
  Phase_ = Phase::Called;
  Call_ = Server_.accept(Number_, std::move(Arrival_), std::move(Request_));
  if (!Call_) {
    answerNotRun(503, "overloaded", true);
    return;
  }
  if (Input_.size() > 0)
    return;
  Input_ = beast::flat_buffer();
  // Shows when the caller goes away; bytes of a next request wait.
  readMore();
}

void CallerSession::giveAnswer(std::shared_ptr<const TargetAnswer> Answer) {
  if (isClosed())
    return;
  Call_.reset();
  Answer_ = std::move(Answer);
  Response Message = startResponse(Answer_->Status_);
  for (const HeaderField &Field : Answer_->Fields_) {
    if (IsHeadRequest_ || !beast::iequals(Field.Name_, "Content-Length"))
      Message.insert(Field.Name_, Field.Value_);
  }
  Message.set(protocol::EndingHeader, nameOf(calls::Ending::Answered));
  Message.body() = {Answer_->Body_.data(), Answer_->Body_.size()};
  const bool HasNoBody =
      IsHeadRequest_ || Answer_->Status_ == 204 || Answer_->Status_ == 304;
  if (!HasNoBody)
    Message.content_length(Answer_->Body_.size());
  write(std::move(Message));
}

void CallerSession::giveRefusal(const decision::RefuseCall &Refusal) {
  if (isClosed())
    return;
  Call_.reset();
  Response Message = startResponse(statusOf(Refusal.Ending_, Refusal.Reason_));
  Message.set(protocol::EndingHeader, nameOf(Refusal.Ending_));
  Message.set(protocol::EndingReasonHeader, nameOf(Refusal.Reason_));
  const auto Wait =
      std::chrono::ceil<std::chrono::seconds>(Refusal.RetryAfter_);
  const bool IsUnavailable =
      Message.result_int() == 503 || Message.result_int() == 429;
  if (IsUnavailable || Wait.count() > 0)
    Message.set(http::field::retry_after,
                std::to_string(std::max<std::int64_t>(Wait.count(), 1)));
  Message.content_length(0);
  write(std::move(Message));
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
  Parser_.reset();
  Request_ = CallerRequest();
  Response Message = startResponse(Status);
  Message.set(protocol::EndingHeader, nameOf(calls::Ending::NotRun));
  Message.set(protocol::EndingReasonHeader, Reason);
  if (Status == 503)
    Message.set(http::field::retry_after, "1");
  Message.content_length(0);
  write(std::move(Message));
}

CallerSession::Response CallerSession::startResponse(unsigned Status) const {
  Response Message;
  Message.version(11);
  Message.result(Status);
  return Message;
}

void CallerSession::write(Response Message) {
  Phase_ = Phase::Writing;
  setDeadline(Server_.limits().WriteTimeout_);
  IsLast_ = IsLast_ || !IsKeptAlive_ || Server_.isWindingDown();
  Message.keep_alive(!IsLast_);
  Output_ = std::move(Message);
  Serializer_.emplace(*Output_);
  Serializer_->split(false);
  http::async_write(
      Socket_, *Serializer_,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void CallerSession::onWritten(const error_code &Error) {
  Serializer_.reset();
  Output_.reset();
  Answer_.reset();
  if (isClosed())
    return;
  if (Error || !IsKeptAlive_ || IsLast_) {
    Error ? close() : linger();
    return;
  }
  awaitNextRequest();
}

/// Lets the caller read the last answer before the connection goes: closing
/// with unread input would reset it.
void CallerSession::linger() {
  IsLingering_ = true;
  Phase_ = Phase::Idle;
  error_code Ignored;
  Socket_.shutdown(net::ip::tcp::socket::shutdown_send, Ignored);
  Input_.clear();
  setDeadline(LingerTime);
  readMore();
}

void CallerSession::finish() {
  IsLast_ = true;
  if (Phase_ == Phase::Idle && !IsLingering_ && Socket_.available() == 0)
    close();
}

void CallerSession::closeIfOverdue(framework::Instant Now) {
  if (Now < Deadline_)
    return;
  if ((Phase_ == Phase::Head || Phase_ == Phase::Body) && !IsLingering_) {
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
  if (Call_)
    Server_.noteGone(*Call_);
  Call_.reset();
  Server_.remove(Number_);
}

} // namespace cranberryspool::entry
