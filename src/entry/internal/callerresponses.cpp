#include "entry/internal/callersession.h"

#include "entry/internal/callerserver.h"
#include "entry/internal/endingstatus.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/notrunmark.h"
#include "entry/internal/retryafter.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace cranberryspool::entry {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr framework::Duration LingerTimeout = std::chrono::seconds(1);

} // namespace

Exchange *CallerSession::findExchange(framework::CallId Call) {
  const auto Found = std::find_if(
      Exchanges_.begin(), Exchanges_.end(),
      [&](const Exchange &Candidate) { return Candidate.Call_ == Call; });
  return Found == Exchanges_.end() ? nullptr : &*Found;
}

void CallerSession::sendResponse(
    framework::CallId Call, std::shared_ptr<const TargetResponse> Received) {
  Exchange *Entry = isClosed() ? nullptr : findExchange(Call);
  if (!Entry)
    return;
  Entry->Call_.reset();
  Entry->Source_ = std::move(Received);
  const TargetResponse &Source = *Entry->Source_;
  Response Message = startResponse(Source.Status_);
  for (const HeaderField &Field : Source.Fields_) {
    if (Entry->IsHeadRequest_ || !beast::iequals(Field.Name_, "Content-Length"))
      Message.insert(Field.Name_, Field.Value_);
  }
  const HttpProfile &Profile = Server_.state().HttpProfile_;
  if (!Profile.EndingField_.empty())
    Message.set(Profile.EndingField_, nameOf(calls::Ending::Answered));
  Message.body() = {Source.Body_.data(), Source.Body_.size()};
  const bool HasNoBody =
      Entry->IsHeadRequest_ || Source.Status_ == 204 || Source.Status_ == 304;
  if (!HasNoBody)
    Message.content_length(Source.Body_.size());
  Entry->Response_ = std::move(Message);
  writeNext();
}

void CallerSession::sendRefusal(const decision::RefuseCall &Refusal) {
  Exchange *Entry = isClosed() ? nullptr : findExchange(Refusal.Call_);
  if (!Entry)
    return;
  Entry->Call_.reset();
  const HttpProfile &Profile = Server_.state().HttpProfile_;
  Response Message = startResponse(statusOf(Refusal.Ending_, Refusal.Reason_));
  if (!Profile.EndingField_.empty()) {
    Message.set(Profile.EndingField_, nameOf(Refusal.Ending_));
    Message.set(Profile.EndingReasonField_, nameOf(Refusal.Reason_));
  }
  const bool IsUnavailable =
      Message.result_int() == 503 || Message.result_int() == 429;
  if (IsUnavailable || Refusal.RetryAfter_ > framework::Duration::zero())
    Message.set(http::field::retry_after,
                retryAfterText(Refusal.RetryAfter_, Profile));
  if (Message.result() == http::status::unauthorized)
    Message.set(http::field::www_authenticate, "Bearer");
  if (Kind_ == CallerKind::Peer && Refusal.Ending_ == calls::Ending::NotRun)
    markNotRun(Message, Entry->AttemptId_, Profile);
  Message.content_length(0);
  Entry->Response_ = std::move(Message);
  writeNext();
}

void CallerSession::refuseHead(RequestHeadError Error) {
  refuseRequest(statusOf(Error), nameOf(Error));
}

/// Refuses a request that cannot be read to its end, so that the connection is
/// closed after the response.
void CallerSession::refuseRequest(unsigned Status, std::string_view Reason) {
  respondNotRun(Status, Reason, false);
}

void CallerSession::respondNotRun(unsigned Status, std::string_view Reason,
                                  bool CanKeepAlive) {
  IsKeptAlive_ = IsKeptAlive_ && CanKeepAlive;
  HasReadLastRequest_ = !IsKeptAlive_;
  Parser_.reset();
  const std::string AttemptId = Request_.AttemptId_;
  Request_ = CallerRequest();
  Server_.reportRefused({Status, std::string(Reason), AttemptId});
  const HttpProfile &Profile = Server_.state().HttpProfile_;
  Response Message = startResponse(Status);
  if (Kind_ == CallerKind::Peer)
    markNotRun(Message, AttemptId, Profile);
  if (!Profile.EndingField_.empty()) {
    Message.set(Profile.EndingField_, nameOf(calls::Ending::NotRun));
    Message.set(Profile.EndingReasonField_, Reason);
  }
  if (Status == 503)
    Message.set(http::field::retry_after,
                retryAfterText(std::chrono::milliseconds(100), Profile));
  Message.content_length(0);
  Exchanges_.push_back(Exchange{.Call_ = std::nullopt,
                                .AttemptId_ = {},
                                .IsHeadRequest_ = IsHeadRequest_,
                                .IsKeptAlive_ = IsKeptAlive_,
                                .Response_ = std::move(Message),
                                .Source_ = nullptr});
  // Set before the write, which may close the connection.
  Phase_ = Phase::Paused;
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
      !Exchanges_.front().Response_)
    return;
  Exchange &Next = Exchanges_.front();
  WriteDeadline_ = Server_.now() + Server_.limits().WriteTimeout_;
  // A response may close the connection only when no accepted or partly read
  // request follows it.
  const bool HasNoRequestBehind =
      Exchanges_.size() == 1 && Phase_ != Phase::Head && Phase_ != Phase::Body;
  if (Server_.isDraining() && HasNoRequestBehind)
    Next.IsKeptAlive_ = false;
  if (!Next.IsKeptAlive_)
    stopReading();
  Next.Response_->keep_alive(Next.IsKeptAlive_);
  Serializer_.emplace(*Next.Response_);
  Serializer_->split(false);
  http::async_write(
      Socket_, *Serializer_,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        Self->onWritten(Error);
      });
}

/// A request that arrives behind the last response would be run and never
/// answered.
void CallerSession::stopReading() {
  HasReadLastRequest_ = true;
  if (Phase_ != Phase::Idle)
    return;
  Phase_ = Phase::Paused;
  Deadline_ = framework::Instant::max();
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
  if (Phase_ == Phase::Paused)
    awaitNextRequest();
  else if (Phase_ == Phase::Idle && Exchanges_.empty())
    setDeadline(idleTimeout());
}

/// Shuts down the sending side and discards input until the caller closes.
/// Closing a socket with unread input would reset the connection, and the
/// caller might lose the last response.
void CallerSession::linger() {
  Phase_ = Phase::Lingering;
  error_code Ignored;
  Socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  Input_.clear();
  setDeadline(LingerTimeout);
  readMore();
}

} // namespace cranberryspool::entry
