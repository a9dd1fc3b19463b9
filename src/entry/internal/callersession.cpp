#include "entry/internal/callersession.h"

#include "entry/internal/callarrival.h"
#include "entry/internal/callerserver.h"
#include "entry/internal/callfields.h"
#include "entry/internal/copyfields.h"
#include "entry/internal/endingstatus.h"
#include "entry/internal/fingerprint.h"
#include "entry/internal/forwardedbyfield.h"
#include "entry/internal/headvalidation.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/workspacefields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryspool::entry {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadSize = 4 * 1024;
constexpr std::size_t BodyReadSize = 64 * 1024;
/// The input that a connection may hold without a reservation.
constexpr std::size_t UnreservedInputBytes = 2 * ReadSize;
/// The limit for a chunk header with its extensions, and for the trailer
/// section.
constexpr std::size_t MaxChunkHeadBytes = 16 * 1024;
/// The number of requests that may be read before the first of them has its
/// response.
constexpr std::size_t MaxPipelinedRequests = 16;
/// The number of bytes of pipelined requests that are held unparsed while
/// responses are pending.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
/// Longer than an instance keeps an idle connection, so that it is not closed
/// while a call is on its way.
constexpr framework::Duration PeerIdleTimeout = std::chrono::seconds(60);
constexpr std::string_view HeadTerminator = "\r\n\r\n";
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view inputView(const beast::flat_buffer &Buffer) {
  return {static_cast<const char *>(Buffer.data().data()), Buffer.size()};
}

} // namespace

CallerSession::CallerSession(net::ip::tcp::socket Socket, std::uint64_t Number,
                             CallerServer &Server, CallerKind Kind)
    : Socket_(std::move(Socket)), Number_(Number), Server_(Server),
      Kind_(Kind) {}

framework::Duration CallerSession::idleTimeout() const {
  return Kind_ == CallerKind::Peer ? PeerIdleTimeout
                                   : Server_.callerLimits().idleTimeout();
}

void CallerSession::start() { awaitNextRequest(); }

bool CallerSession::canReadAhead() const {
  if (HasReadLastRequest_ || Exchanges_.size() >= MaxPipelinedRequests)
    return false;
  // While draining, the next response closes the connection: a request read
  // behind it would get no response.
  return Exchanges_.empty() || !Server_.isDraining();
}

void CallerSession::awaitNextRequest() {
  Request_ = CallerRequest();
  SearchedBytes_ = 0;
  if (!canReadAhead()) {
    Phase_ = Phase::Paused;
    Deadline_ = framework::Instant::max();
    readMore();
    return;
  }
  Phase_ = Phase::Idle;
  if (Exchanges_.empty())
    setDeadline(idleTimeout());
  else
    Deadline_ = framework::Instant::max();
  continueWithInput();
}

void CallerSession::readMore() {
  if (IsReading_ || isClosed())
    return;
  // Reading continues while calls are in progress, since that is how a closed
  // connection is noticed.
  if (Phase_ == Phase::Paused && Input_.size() >= MaxUnparsedBytes)
    return;
  if (Input_.size() == 0 && Phase_ != Phase::Body)
    Input_ = beast::flat_buffer();
  std::size_t Bytes = Phase_ == Phase::Body ? BodyReadSize : ReadSize;
  if (!tryReserveInput(Input_.size() + Bytes)) {
    if (Phase_ == Phase::Paused)
      return;
    if (Phase_ == Phase::Head) {
      respondNotRun(503, "overloaded", false);
      return;
    }
    Bytes = ReadSize;
  }
  IsReading_ = true;
  Socket_.async_read_some(
      Input_.prepare(Bytes),
      [Self = shared_from_this()](const error_code &Error, std::size_t Count) {
        Self->onRead(Error, Count);
      });
}

bool CallerSession::tryReserveInput(std::size_t Bytes) {
  if (Bytes > UnreservedInputBytes)
    return InputReservation_.tryGrow(Server_.state().InputBytes_, Bytes);
  InputReservation_ = framework::ByteReservation();
  return true;
}

void CallerSession::onRead(const error_code &Error, std::size_t Bytes) {
  IsReading_ = false;
  if (isClosed())
    return;
  if (Error) {
    // A caller may shut down its sending side after its last request; a
    // response that is being written is still completed.
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
  const std::string_view Available = inputView(Input_);
  const std::size_t Limit = Server_.callerLimits().headBytes();
  const std::size_t End = Available.find(HeadTerminator, SearchedBytes_);
  if (End != std::string_view::npos && End + HeadTerminator.size() <= Limit) {
    acceptHead(Available.substr(0, End + HeadTerminator.size()));
    return;
  }
  if (Available.size() > Limit) {
    refuseRequest(431, "head-too-large");
    return;
  }
  SearchedBytes_ = Available.size() < HeadTerminator.size()
                       ? 0
                       : Available.size() - HeadTerminator.size();
  readMore();
}

void CallerSession::acceptHead(std::string_view HeadText) {
  if (const auto Validation = validateRequestHead(HeadText); !Validation) {
    refuseHead(Validation.error());
    return;
  }
  Parser_.emplace();
  Parser_->header_limit(static_cast<std::uint32_t>(HeadText.size() + 1));
  Parser_->body_limit(Server_.callerLimits().bodyBytes());
  error_code Error;
  const std::size_t ConsumedBytes =
      Parser_->put(net::buffer(HeadText.data(), HeadText.size()), Error);
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
  // Copied before the body is read, since the parser adds trailer fields to the
  // same list; trailers must not become header fields.
  const std::vector<HeaderField> Fields = copyFields(Message);
  const HttpProfile &Profile = Server_.state().HttpProfile_;
  const auto Metadata = readCallFields(Fields, Profile);
  if (!Metadata) {
    refuseHead(Metadata.error());
    return;
  }
  Request_.Fields_ = forwardableRequestFields(Fields, Profile);
  Request_.CredentialFields_ = takeCredentialFields(Request_.Fields_, Profile);
  Request_.AttemptId_ = Metadata.value().AttemptId_;
  Arrival_ =
      makeArrival(Request_, Message[http::field::host], Metadata.value());
  // Read from all fields: a key counts even where the caller declares its field
  // hop-by-hop in `Connection`, so that an unknown key is never taken for none.
  Arrival_.Credential_ = readCallerCredential(Fields, Profile);
  if (Server_.state().HasWorkspaces_.load())
    Request_.CredentialFields_.clear();
  error_code Ignored;
  if (Kind_ == CallerKind::Peer) {
    Arrival_.ForwardedBy_ = takeForwardedBy(Request_.Fields_);
    if (!Arrival_.ForwardedBy_) {
      refuseRequest(400, "bad-forwarder");
      return;
    }
    Arrival_.ForwardedWorkspace_ = takeForwardedWorkspace(Request_.Fields_);
    Arrival_.ForwardedBy_->Address_ =
        Socket_.remote_endpoint(Ignored).address().to_string();
  }
  Input_.consume(ConsumedBytes);
  if (!reserveRequest(ConsumedBytes))
    return;
  Framing_ = FramingLimit(Server_.limits().HeadBytes_);
  Phase_ = Phase::Body;
  setDeadline(Server_.limits().BodyTimeout_);
  if (beast::iequals(Message[http::field::expect], "100-continue") &&
      Input_.size() == 0 && !Parser_->is_done()) {
    Socket_.write_some(
        net::buffer(ContinueResponse.data(), ContinueResponse.size()), Ignored);
  }
  continueBody();
}

bool CallerSession::reserveRequest(std::size_t HeadBytes) {
  InstanceState &State = Server_.state();
  const std::size_t BodyBytes =
      Parser_->chunked() ? 0 : Parser_->content_length().value_or(0);
  if (Request_.HeadReservation_.tryReserve(State.InputBytes_, HeadBytes) &&
      Request_.Reservation_.tryReserve(State.RequestBytes_, BodyBytes))
    return true;
  respondNotRun(503, "overloaded", false);
  return false;
}

bool CallerSession::tryReserveChunks() {
  if (!Parser_->chunked())
    return true;
  const std::size_t Bytes =
      std::min(Parser_->get().body().size() + Input_.size(),
               Server_.callerLimits().bodyBytes());
  return Request_.Reservation_.tryGrow(Server_.state().RequestBytes_, Bytes);
}

void CallerSession::continueBody() {
  Parser_->eager(true);
  error_code Error;
  while (!Parser_->is_done() && Input_.size() > 0) {
    if (!tryReserveChunks()) {
      respondNotRun(503, "overloaded", false);
      return;
    }
    const std::size_t ConsumedBytes = Parser_->put(Input_.data(), Error);
    Input_.consume(ConsumedBytes);
    Framing_.add(ConsumedBytes);
    const bool IsFramingTooLarge =
        Framing_.isExceeded(Parser_->get().body().size());
    if (!Error && IsFramingTooLarge)
      Error = http::error::bad_chunk;
    if (Error == http::error::need_more) {
      Error = {};
      if (Input_.size() > MaxChunkHeadBytes || IsFramingTooLarge)
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
    dispatchRequest();
  else
    readMore();
}

void CallerSession::dispatchRequest() {
  Request_.Body_ = std::move(Parser_->get().body());
  Request_.Reservation_.shrink(Request_.Body_.size());
  Parser_.reset();
  Arrival_.BodyBytes_ = Request_.Body_.size();
  // Without workspaces a caller could evade the quarantine of its request by
  // changing a credential that nobody checks.
  Arrival_.Fingerprint_ = computeFingerprint(
      Request_, Arrival_.Host_,
      Server_.state().HasWorkspaces_.load() ? Arrival_.Credential_
                                            : workspaces::Credential());
  const std::string AttemptId = Request_.AttemptId_;
  const auto Call =
      Server_.accept(Number_, std::move(Arrival_), std::move(Request_));
  if (!Call) {
    respondNotRun(503, "overloaded", true);
    return;
  }
  HasReadLastRequest_ = !IsKeptAlive_;
  Exchanges_.push_back(Exchange{.Call_ = Call,
                                .AttemptId_ = AttemptId,
                                .IsHeadRequest_ = IsHeadRequest_,
                                .IsKeptAlive_ = IsKeptAlive_,
                                .Response_ = std::nullopt,
                                .Source_ = nullptr});
  awaitNextRequest();
}

void CallerSession::closeWhenIdle() {
  HasReadLastRequest_ = HasReadLastRequest_ || !Exchanges_.empty();
  if (Phase_ == Phase::Idle && Exchanges_.empty() && Socket_.available() == 0)
    close();
}

void CallerSession::closeIfTimedOut(framework::Instant Now) {
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
  for (const Exchange &Pending : Exchanges_)
    if (Pending.Call_)
      Server_.reportCallerGone(*Pending.Call_);
  Server_.remove(Number_);
}

} // namespace cranberryspool::entry
