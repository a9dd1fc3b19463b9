#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H

#include "decision/types/actions/refusecall.h"
#include "decision/types/events/callarrived.h"
#include "entry/types/callerrequest.h"
#include "entry/types/entrylimits.h"
#include "entry/types/headfault.h"
#include "entry/types/targetanswer.h"
#include "framework/runtime/bytebudget.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class CallerServer;

/// One caller connection: reads one request at a time, whole and bounded, and
/// writes its answer. The server's table owns it; an operation under way keeps
/// it until it has come back.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, std::uint64_t Number,
                CallerServer &Server);

  void start();

  /// Writes the answer of the call in hand.
  void giveAnswer(std::shared_ptr<const TargetAnswer> Answer);
  void giveRefusal(const decision::RefuseCall &Refusal);

  /// Closes when the time for what the caller has to do is over.
  void closeIfOverdue(framework::Instant Now);

  /// Closes unless a request or an answer is under way; one under way is the
  /// last.
  void finish();

  bool isClosed() const { return Phase_ == Phase::Closed; }

private:
  enum class Phase { Idle, Head, Body, Called, Writing, Closed };
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::span_body<const char>>;
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
  void refuseRequest(unsigned Status, std::string_view Reason);
  void refuseHead(HeadFault Fault);
  void answerNotRun(unsigned Status, std::string_view Reason, bool MayGoOn);
  Response startResponse(unsigned Status) const;
  void write(Response Message);
  void onWritten(const boost::system::error_code &Error);
  void awaitNextRequest();
  void linger();
  void close();
  void setDeadline(framework::Duration FromNow);

  boost::asio::ip::tcp::socket Socket_;
  const std::uint64_t Number_;
  CallerServer &Server_;
  Phase Phase_ = Phase::Idle;
  bool IsReading_ = false;
  bool IsKeptAlive_ = true;
  bool IsHeadRequest_ = false;
  bool IsLast_ = false;
  bool IsLingering_ = false;
  std::optional<framework::CallId> Call_;
  framework::Instant Deadline_ = framework::Instant::max();
  boost::beast::flat_buffer Input_;
  std::size_t Searched_ = 0;
  std::optional<RequestParser> Parser_;
  CallerRequest Request_;
  decision::CallArrived Arrival_;
  std::shared_ptr<const TargetAnswer> Answer_;
  std::string RefusalText_;
  std::optional<Response> Output_;
  std::optional<Serializer> Serializer_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSESSION_H
