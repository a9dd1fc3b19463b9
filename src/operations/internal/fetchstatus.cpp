#include "operations/internal/fetchstatus.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <optional>

namespace cranberryspool::operations {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::uint64_t MaxStatusBytes = 32'000'000;
constexpr unsigned HttpVersion = 11;

std::optional<Tcp::endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.starts_with('[') && Host.ends_with(']'))
    Host = Host.substr(1, Host.size() - 2);
  ErrorCode Error;
  const auto Address = asio::ip::make_address(std::string(Host), Error);
  std::uint16_t Port = 0;
  const char *const End = Text.data() + Text.size();
  const auto ParsedPort = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error || ParsedPort.ec != std::errc() || ParsedPort.ptr != End ||
      Port == 0)
    return std::nullopt;
  return Tcp::endpoint(Address, Port);
}

FetchFailure toFetchFailure(ErrorCode Error, FetchFailure DefaultFailure) {
  return Error == beast::error::timeout ? FetchFailure::TimedOut
                                        : DefaultFailure;
}

asio::awaitable<FetchResult> fetchInstanceStatus(Tcp::endpoint Endpoint,
                                                 std::string Host,
                                                 framework::Duration Timeout) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  ErrorCode Error;
  auto Token = asio::redirect_error(asio::use_awaitable, Error);
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(Endpoint, Token);
  if (Error)
    co_return framework::failure(
        toFetchFailure(Error, FetchFailure::CannotConnect));
  http::request<http::empty_body> Request(http::verb::get, "/status",
                                          HttpVersion);
  Request.set(http::field::host, Host);
  Request.set(http::field::connection, "close");
  co_await http::async_write(Stream, Request, Token);
  if (Error)
    co_return framework::failure(
        toFetchFailure(Error, FetchFailure::ConnectionLost));
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxStatusBytes);
  co_await http::async_read(Stream, Buffer, Parser, Token);
  if (Error)
    co_return framework::failure(
        toFetchFailure(Error, FetchFailure::ConnectionLost));
  if (Parser.get().result() != http::status::ok)
    co_return framework::failure(FetchFailure::UnexpectedStatus);
  co_return std::move(Parser.get().body());
}

asio::awaitable<void> storeInstanceStatus(FetchResult &Result,
                                          Tcp::endpoint Endpoint,
                                          std::string Host,
                                          framework::Duration Timeout) {
  Result = co_await fetchInstanceStatus(Endpoint, std::move(Host), Timeout);
}

} // namespace

std::string_view fetchFailureText(FetchFailure Failure) {
  switch (Failure) {
  case FetchFailure::InvalidAddress:
    return "is not an address such as 127.0.0.1:9000";
  case FetchFailure::CannotConnect:
    return "could not be reached";
  case FetchFailure::TimedOut:
    return "did not respond in time";
  case FetchFailure::ConnectionLost:
    return "closed the connection or sent no valid HTTP response";
  case FetchFailure::UnexpectedStatus:
    return "responded with an HTTP status other than 200";
  }
  return "";
}

std::vector<FetchResult> fetchStatus(const std::vector<std::string> &Addresses,
                                     framework::Duration Timeout) {
  std::vector<FetchResult> Results(
      Addresses.size(), framework::failure(FetchFailure::InvalidAddress));
  asio::io_context Context(1);
  for (std::size_t Index = 0; Index < Addresses.size(); ++Index) {
    const auto Endpoint = parseEndpoint(Addresses[Index]);
    if (!Endpoint)
      continue;
    asio::co_spawn(Context,
                   storeInstanceStatus(Results[Index], *Endpoint,
                                       Addresses[Index], Timeout),
                   asio::detached);
  }
  Context.run();
  return Results;
}

} // namespace cranberryspool::operations
