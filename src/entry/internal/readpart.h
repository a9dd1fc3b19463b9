#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_READPART_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_READPART_H

#include "entry/framinglimit.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace cranberryspool::entry {

/// Parses the input until the message is complete or needs more. Returns an
/// error if the message is invalid or exceeds a limit, that of its framing
/// among them.
template <typename Parser>
boost::system::error_code parseInput(boost::beast::flat_buffer &Input,
                                     Parser &Message, FramingLimit &Framing) {
  namespace http = boost::beast::http;
  boost::system::error_code Error;
  while (!Message.is_done() && Input.size() > 0) {
    const std::size_t Bytes = Message.put(Input.data(), Error);
    Input.consume(Bytes);
    Framing.add(Bytes);
    if (Framing.isExceeded(Message.get().body().size()))
      return http::error::header_limit;
    if (Error == http::error::need_more)
      return {};
    if (Error)
      return Error;
  }
  return {};
}

/// Reads once from the socket, parses what has arrived and calls the handler.
/// Unlike `http::async_read_some` it returns after each read, so that limits
/// are checked also while a message never stops within one of its parts. The
/// handler keeps the other arguments alive.
template <typename Parser, typename Handler>
void readPart(boost::asio::ip::tcp::socket &Socket,
              boost::beast::flat_buffer &Input, Parser &Message,
              FramingLimit &Framing, Handler OnRead) {
  namespace http = boost::beast::http;
  using boost::system::error_code;
  constexpr std::size_t MaxPartBytes = 64 * 1024;
  const std::size_t Room = boost::beast::read_size(Input, MaxPartBytes);
  if (Room == 0) {
    boost::asio::post(Socket.get_executor(),
                      [OnRead = std::move(OnRead)]() mutable {
                        OnRead(http::error::buffer_overflow);
                      });
    return;
  }
  Socket.async_read_some(
      Input.prepare(Room),
      [&Input, &Message, &Framing, OnRead = std::move(OnRead)](
          error_code Error, std::size_t Bytes) mutable {
        Input.commit(Bytes);
        if (!Error)
          Error = parseInput(Input, Message, Framing);
        else if (Error == boost::asio::error::eof && Message.got_some())
          Message.put_eof(Error);
        else if (Error == boost::asio::error::eof)
          Error = http::error::end_of_stream;
        OnRead(Error);
      });
}

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_READPART_H
