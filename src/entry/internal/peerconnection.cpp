#include "entry/internal/peerconnection.h"

#include "entry/internal/peerconnections.h"
#include "framework/runtime/clocks.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cranberryspool::entry {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

namespace {

/// A connection that was not used for this long is closed.
constexpr std::chrono::seconds IdleTimeout{10};
/// The longest time for opening a connection or sending a message. A requester
/// without an answer has asked another instance by then.
constexpr std::chrono::seconds SendTimeout{1};
/// The answer to a request is at most 33 messages; further ones are dropped.
constexpr std::size_t MaxWaitingMessages = 64;

} // namespace

PeerConnection::PeerConnection(tcp::socket Socket, std::uint64_t Number,
                               PeerConnections &Owner)
    : Socket_(std::move(Socket)), Number_(Number), Owner_(Owner),
      Timer_(Socket_.get_executor()),
      LastUsedAt_(framework::readMoment().Monotonic_) {}

void PeerConnection::connect(const tcp::endpoint &Peer) {
  restartTimer();
  Socket_.async_connect(Peer,
                        [Self = shared_from_this()](const error_code &Error) {
                          if (Error || Self->IsClosed_)
                            Self->close();
                          else
                            Self->start();
                        });
}

void PeerConnection::start() {
  IsConnected_ = true;
  error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  readLength();
  if (!Output_.empty())
    writeNext();
  restartTimer();
}

void PeerConnection::readLength() {
  net::async_read(
      Socket_, net::buffer(Length_),
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error || Self->IsClosed_)
          Self->close();
        else
          Self->readMessage();
      });
}

void PeerConnection::readMessage() {
  const std::size_t Bytes = (std::size_t{Length_[0]} << 8U) | Length_[1];
  if (Bytes == 0 || Bytes > fleet::MaxDatagramBytes) {
    close();
    return;
  }
  Input_.resize(Bytes);
  net::async_read(
      Socket_, net::buffer(Input_),
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error || Self->IsClosed_) {
          Self->close();
          return;
        }
        Self->LastUsedAt_ = framework::readMoment().Monotonic_;
        Self->restartTimer();
        Self->Owner_.handle(Self->Input_);
        Self->readLength();
      });
}

void PeerConnection::send(const std::vector<std::uint8_t> &Message) {
  if (Message.size() > fleet::MaxDatagramBytes ||
      Output_.size() >= MaxWaitingMessages)
    return;
  std::vector<std::uint8_t> Framed{
      static_cast<std::uint8_t>(Message.size() >> 8U),
      static_cast<std::uint8_t>(Message.size() & 0xFFU)};
  Framed.insert(Framed.end(), Message.begin(), Message.end());
  Output_.push_back(std::move(Framed));
  LastUsedAt_ = framework::readMoment().Monotonic_;
  if (!IsConnected_ || Output_.size() > 1)
    return;
  writeNext();
  restartTimer();
}

void PeerConnection::writeNext() {
  net::async_write(
      Socket_, net::buffer(Output_.front()),
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error || Self->IsClosed_) {
          Self->close();
          return;
        }
        Self->Output_.pop_front();
        if (!Self->Output_.empty())
          Self->writeNext();
        Self->restartTimer();
      });
}

void PeerConnection::restartTimer() {
  const bool IsSending = !IsConnected_ || !Output_.empty();
  Timer_.expires_after(IsSending ? SendTimeout : IdleTimeout);
  Timer_.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error)
      Self->close();
  });
}

void PeerConnection::close() {
  if (std::exchange(IsClosed_, true))
    return;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
  Owner_.remove(Number_);
}

} // namespace cranberryspool::entry
