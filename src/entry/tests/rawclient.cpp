#include "entry/tests/rawclient.h"

#include "entry/internal/listen.h"

#include <boost/asio/write.hpp>

#include <array>

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;

RawClient::RawClient(const Endpoint &Server) : Socket_(Io_) {
  Socket_.connect(toTcp(Server));
  Socket_.set_option(net::ip::tcp::no_delay(true));
}

void RawClient::send(std::string_view Bytes) {
  error_code Ignored;
  net::write(Socket_, net::buffer(Bytes.data(), Bytes.size()), Ignored);
}

std::string RawClient::receiveResponse() {
  constexpr std::string_view LengthField = "Content-Length: ";
  while (true) {
    const std::size_t HeadEnd = Input_.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      const std::size_t Field = Input_.find(LengthField);
      const std::size_t Length =
          Field < HeadEnd
              ? std::stoul(Input_.substr(Field + LengthField.size()))
              : 0;
      const std::size_t End = HeadEnd + 4 + Length;
      if (Input_.size() >= End) {
        std::string Response = Input_.substr(0, End);
        Input_.erase(0, End);
        return Response;
      }
    }
    if (!receiveMore())
      return std::exchange(Input_, std::string());
  }
}

std::string RawClient::receiveAll() {
  while (receiveMore())
    ;
  return std::exchange(Input_, std::string());
}

bool RawClient::receiveMore() {
  std::array<char, 4096> Bytes;
  error_code Error;
  const std::size_t Count = Socket_.read_some(net::buffer(Bytes), Error);
  Input_.append(Bytes.data(), Count);
  return !Error;
}

void RawClient::close() { Socket_.close(); }

} // namespace cranberryspool::entry
