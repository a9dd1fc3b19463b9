#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTION_H

#include "calls/types/attemptfailure.h"
#include "calls/types/writestate.h"
#include "entry/framinglimit.h"
#include "entry/types/entrylimits.h"
#include "entry/types/headerfield.h"
#include "entry/types/responsemetadata.h"
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

class TargetConnectionPool;

/// One connection to a target. Sends one attempt at a time and reads its
/// complete response within size limits. The pool's table and each pending
/// operation hold a reference to the connection.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
  TargetConnection(const decision::OpenConnection &Command,
                   TargetConnectionPool &Pool);

  void connect(const boost::asio::ip::tcp::endpoint &Remote);
  void send(SendRequest Command);

  /// Closes the connection without reporting an event.
  void closeSilently();

  /// Closes a connection that was not established within the connect timeout.
  void closeIfTimedOut(framework::Instant Now);

  /// Continues to read a response if it waits for room in a byte budget.
  void retryRead();

private:
  enum class Phase { Connecting, Idle, Busy, Closed };
  using ResponseParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using Request =
      boost::beast::http::request<boost::beast::http::span_body<const char>>;
  using Serializer = boost::beast::http::request_serializer<
      boost::beast::http::span_body<const char>>;

  void onConnected(const boost::system::error_code &Error);
  void awaitReadable();
  void onReadable(const boost::system::error_code &Error);
  std::string attemptIdText() const;
  framework::AttemptId echoedAttempt(const std::string &EchoedId) const;
  bool isUnverified(const ResponseMetadata &Metadata, unsigned Status) const;
  bool isMisdirected(unsigned Status) const;
  void writeRequest();
  void onWritten(const boost::system::error_code &Error, std::size_t Bytes);
  void startHead();
  void readHead();
  void onHeadRead(const boost::system::error_code &Error, std::size_t Bytes);
  void acceptHead();
  void readBody();
  void onBodyRead(const boost::system::error_code &Error);
  /// Returns the number of body bytes that there must be room for before the
  /// next read.
  std::size_t bodyBytesAfterRead() const;
  /// Allows the input to grow to its maximum size. Returns false when there is
  /// no room for that at present.
  bool tryEnlargeInput();
  bool isInputEnlarged() const;
  void resetInput();
  void awaitRoom();
  void finishResponse();
  void fail(calls::AttemptFailure Failure);
  void close();
  calls::AttemptFailure
  classifyError(const boost::system::error_code &Error) const;

  const decision::OpenConnection OpenCommand_;
  TargetConnectionPool &Pool_;
  boost::asio::ip::tcp::socket Socket_;
  Phase Phase_ = Phase::Connecting;
  framework::Instant ConnectStartedAt_;
  bool IsAwaitingReadable_ = false;
  bool IsRequestWritten_ = false;
  calls::WriteState WriteState_ = calls::WriteState::NothingWritten;
  std::optional<SendRequest> Attempt_;
  std::optional<Request> Output_;
  std::optional<Serializer> Serializer_;
  boost::beast::flat_buffer Input_;
  framework::ByteReservation InputReservation_;
  std::optional<ResponseParser> Parser_;
  FramingLimit Framing_;
  std::vector<HeaderField> Fields_;
  framework::ByteReservation Reservation_;
  bool IsAwaitingRoom_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTION_H
