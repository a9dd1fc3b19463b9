#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETPROBE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETPROBE_H

#include "decision/types/actions/probetarget.h"
#include "entry/internal/targetconnections.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/empty_body.hpp>

namespace cranberryspool::entry {

/// One question for a target's load, on a connection of its own.
class TargetProbe : public std::enable_shared_from_this<TargetProbe> {
public:
  TargetProbe(const decision::ProbeTarget &Order, TargetConnections &Pool);

  void start();

private:
  void onConnected(const boost::system::error_code &Error);
  void onWritten(const boost::system::error_code &Error);
  void onRead(const boost::system::error_code &Error);
  void fail();
  void finish();

  const decision::ProbeTarget Order_;
  TargetConnections &Pool_;
  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  framework::Instant Started_;
  bool IsDone_ = false;
  boost::beast::flat_buffer Input_;
  boost::beast::http::request<boost::beast::http::empty_body> Question_;
  boost::beast::http::response_parser<boost::beast::http::string_body> Answer_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETPROBE_H
