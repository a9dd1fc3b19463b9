#include "entry/internal/httpservice.h"

#include "entry/internal/httpservicesession.h"

#include <algorithm>

namespace cranberryspool::entry {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr std::size_t MaxSessions = 64;

} // namespace

HttpService::HttpService(net::io_context &Io, tcp::acceptor Acceptor,
                         std::size_t MaxBodyBytes, Handler OnRequest)
    : Io_(Io), Acceptor_(std::move(Acceptor)), MaxBodyBytes_(MaxBodyBytes),
      Handler_(std::move(OnRequest)) {
  acceptNext();
}

HttpService::~HttpService() = default;

void HttpService::acceptNext() {
  Acceptor_.async_accept(
      Io_, [this](const boost::system::error_code &Error, tcp::socket Socket) {
        if (Error == net::error::operation_aborted)
          return;
        if (!Error)
          open(std::move(Socket));
        acceptNext();
      });
}

void HttpService::open(tcp::socket Socket) {
  if (Sessions_.size() >= MaxSessions)
    closeOldest();
  const std::uint64_t Number = ++LastSession_;
  const auto Session =
      std::make_shared<HttpServiceSession>(std::move(Socket), Number, *this);
  Sessions_.emplace(Number, Session);
  Session->readNext();
}

void HttpService::closeOldest() {
  const auto Oldest = std::min_element(Sessions_.begin(), Sessions_.end(),
                                       [](const auto &Left, const auto &Right) {
                                         return Left.second->waitingSince() <
                                                Right.second->waitingSince();
                                       });
  const auto Session = Oldest->second;
  Session->close();
}

} // namespace cranberryspool::entry
