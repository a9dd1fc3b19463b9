#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H

#include "decision/types/actions/refusecall.h"
#include "decision/types/events/callarrived.h"
#include "entry/internal/exchange.h"
#include "entry/types/callerrequest.h"
#include "entry/types/headfault.h"
#include "entry/types/targetanswer.h"
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

/// One caller connection: reads requests whole and bounded, a few of them
/// ahead of the answers, and writes the answers in the order of the requests.
/// The server's table owns it; an operation under way keeps it until it has
/// come back.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, std::uint64_t Number,
                CallerServer &Server);

  void start();

  /// Writes the answer of a call once those before it are written.
  void giveAnswer(framework::CallId Call,
                  std::shared_ptr<const TargetAnswer> Answer);
  void giveRefusal(const decision::RefuseCall &Refusal);

  /// Closes when the time for what the caller has to do is over.
  void closeIfOverdue(framework::Instant Now);

  /// Closes unless a request or an answer is under way; one under way is the
  /// last.
  void finish();

  bool isClosed() const { return Phase_ == Phase::Closed; }

private:
  /// What is read now. `Full` means that no more requests are read, for a
  /// while or for good.
  enum class Phase { Idle, Head, Body, Full, Lingering, Closed };
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response = Exchange::Response;
  using Serializer = boost::beast::http::response_serializer<
      boost::beast::http::span_body<const char>>;

  void readMore();
  void onRead(const boost::system::error_code &Error, std::size_t Bytes);
  void continueWithInput();
  void continueHead();
  void acceptHead(std::string_view Raw);
  bool reserveBody();
  void continueBody();
  void deliver();
  void awaitNextRequest();
  /// True when another request may be read before the answers are written.
  bool mayReadAhead() const;

  void refuseRequest(unsigned Status, std::string_view Reason);
  void refuseHead(HeadFault Fault);
  /// Answers the request that is being read; it did not run.
  void answerNotRun(unsigned Status, std::string_view Reason, bool MayGoOn);
  Exchange *find(framework::CallId Call);
  Response startResponse(unsigned Status) const;
  void writeNext();
  void onWritten(const boost::system::error_code &Error);
  void linger();
  void close();
  void setDeadline(framework::Duration FromNow);

  boost::asio::ip::tcp::socket Socket_;
  const std::uint64_t Number_;
  CallerServer &Server_;
  Phase Phase_ = Phase::Idle;
  bool IsReading_ = false;
  /// The request being read, or to be read next, allows another after it.
  bool IsKeptAlive_ = true;
  bool IsHeadRequest_ = false;
  /// No more requests are read.
  bool IsLast_ = false;
  framework::Instant Deadline_ = framework::Instant::max();
  framework::Instant WriteDeadline_ = framework::Instant::max();
  boost::beast::flat_buffer Input_;
  std::size_t Searched_ = 0;
  std::optional<RequestParser> Parser_;
  CallerRequest Request_;
  decision::CallArrived Arrival_;
  std::deque<Exchange> Exchanges_;
  /// The answer that is being written belongs to the first exchange.
  std::optional<Serializer> Serializer_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H
