#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H

#include "decision/types/actions/refusecall.h"
#include "decision/types/events/callarrived.h"
#include "entry/framinglimit.h"
#include "entry/internal/exchange.h"
#include "entry/types/callerkind.h"
#include "entry/types/callerrequest.h"
#include "entry/types/requestheaderror.h"
#include "entry/types/targetresponse.h"
#include "framework/ids.h"
#include "framework/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

namespace cranberryspool::entry {

class CallerServer;

/// One caller connection. Reads complete requests of bounded size, pipelined up
/// to a limit, and writes the responses in the order of the requests. Another
/// instance that forwards calls is a caller as well: it must name itself in
/// each request, and refusals tell it whether the call was run. The server's
/// table and each pending operation hold a reference to the session.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, std::uint64_t Number,
                CallerServer &Server, CallerKind Kind);

  void start();

  /// Writes the response to a call once all earlier responses are written.
  void sendResponse(framework::CallId Call,
                    std::shared_ptr<const TargetResponse> Received);
  /// Writes the refusal of a call once all earlier responses are written.
  void sendRefusal(const decision::RefuseCall &Refusal);

  /// Closes the connection, or responds with 408, when the caller exceeded a
  /// time limit.
  void closeIfTimedOut(framework::Instant Now);

  /// Closes the connection at once when it is idle, otherwise after the
  /// requests in progress.
  void closeWhenIdle();

  bool isClosed() const { return Phase_ == Phase::Closed; }

private:
  /// The state of reading. `Paused` means that no further request is parsed,
  /// for now or for good. `Lingering` discards input after the last response.
  enum class Phase { Idle, Head, Body, Paused, Lingering, Closed };
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response = Exchange::Response;
  using Serializer = boost::beast::http::response_serializer<
      boost::beast::http::span_body<const char>>;

  void readMore();
  void onRead(const boost::system::error_code &Error, std::size_t Bytes);
  void continueWithInput();
  void continueHead();
  void acceptHead(std::string_view HeadText);
  /// Reserves room for a head of the given size and a body of known length.
  bool reserveRequest(std::size_t HeadBytes);
  /// Reserves room for the input that would be held. Returns false when there
  /// is none.
  bool tryReserveInput(std::size_t Bytes);
  /// Reserves room for the part of a chunked body that may be in the input.
  bool tryReserveChunks();
  void continueBody();
  void dispatchRequest();
  void awaitNextRequest();
  /// True when another request may be read before the pending responses are
  /// written.
  bool canReadAhead() const;

  void refuseRequest(unsigned Status, std::string_view Reason);
  void refuseHead(RequestHeadError Error);
  /// Responds to the request that is being read, which was not run.
  void respondNotRun(unsigned Status, std::string_view Reason,
                     bool CanKeepAlive);
  Exchange *findExchange(framework::CallId Call);
  Response startResponse(unsigned Status) const;
  framework::Duration idleTimeout() const;
  void writeNext();
  /// Parses no further request of this connection.
  void stopReading();
  void onWritten(const boost::system::error_code &Error);
  void linger();
  void close();
  void setDeadline(framework::Duration FromNow);

  boost::asio::ip::tcp::socket Socket_;
  const std::uint64_t Number_;
  CallerServer &Server_;
  const CallerKind Kind_;
  Phase Phase_ = Phase::Idle;
  bool IsReading_ = false;
  /// True when another request may follow the one being read or read next.
  bool IsKeptAlive_ = true;
  bool IsHeadRequest_ = false;
  /// True when no further request will be read.
  bool HasReadLastRequest_ = false;
  framework::Instant Deadline_ = framework::Instant::max();
  framework::Instant WriteDeadline_ = framework::Instant::max();
  boost::beast::flat_buffer Input_;
  framework::ByteReservation InputReservation_;
  std::size_t SearchedBytes_ = 0;
  std::optional<RequestParser> Parser_;
  FramingLimit Framing_;
  CallerRequest Request_;
  decision::CallArrived Arrival_;
  std::deque<Exchange> Exchanges_;
  /// Set while the response of the first exchange is being written.
  std::optional<Serializer> Serializer_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H
