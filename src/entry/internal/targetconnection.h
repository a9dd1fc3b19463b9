#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTION_H

#include "calls/types/attemptfailure.h"
#include "calls/types/writestate.h"
#include "entry/types/answerhead.h"
#include "entry/types/entrylimits.h"
#include "entry/types/headerfield.h"
#include "entry/types/targetcommand.h"
#include "framework/runtime/bytereservation.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class TargetConnections;

/// One connection to a target: carries one attempt at a time and reads its
/// answer whole and bounded. The pool's table owns it; an operation under way
/// keeps it until it has come back.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
  TargetConnection(const decision::OpenConnection &Order,
                   TargetConnections &Pool);

  void open(const boost::asio::ip::tcp::endpoint &Where);
  void send(SendRequest Order);

  /// Closes without an event.
  void abandon();

  /// Closes a connection that took too long to open.
  void closeIfOverdue(framework::Instant Now);

  /// Goes on reading an answer that waited for the byte budget.
  void retryBody();

private:
  enum class Phase { Opening, Idle, Busy, Closed };
  using AnswerParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Request =
      boost::beast::http::request<boost::beast::http::span_body<const char>>;
  using Serializer = boost::beast::http::request_serializer<
      boost::beast::http::span_body<const char>>;

  void onOpened(const boost::system::error_code &Error);
  void awaitReadable();
  void onReadable(const boost::system::error_code &Error);
  std::string attemptIdText() const;
  framework::AttemptId echoedAttempt(const std::string &Echo) const;
  bool isForeign(const AnswerHead &Head, unsigned Status) const;
  bool isMisdirected(unsigned Status) const;
  void writeRequest();
  void onWritten(const boost::system::error_code &Error, std::size_t Bytes);
  void readHead();
  void onHead(const boost::system::error_code &Error);
  void readBody();
  void onBody(const boost::system::error_code &Error);
  void finishAnswer();
  void fail(calls::AttemptFailure Failure);
  void close();
  calls::AttemptFailure failureOf(const boost::system::error_code &Error) const;

  const decision::OpenConnection Order_;
  TargetConnections &Pool_;
  boost::asio::ip::tcp::socket Socket_;
  Phase Phase_ = Phase::Opening;
  framework::Instant OpenedAsked_;
  bool IsWaitingForInput_ = false;
  bool IsWritten_ = false;
  calls::WriteState WriteState_ = calls::WriteState::NothingWritten;
  std::optional<SendRequest> Attempt_;
  std::optional<Request> Output_;
  std::optional<Serializer> Serializer_;
  boost::beast::flat_buffer Input_;
  std::optional<AnswerParser> Parser_;
  std::vector<HeaderField> Fields_;
  framework::ByteReservation Reservation_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTION_H
