#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_EXCHANGE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_EXCHANGE_H

#include "entry/types/targetresponse.h"
#include "framework/ids.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// A request read from a caller connection, with its response once that is
/// known. Responses are written in the order of the requests.
struct Exchange {
  using Response =
      boost::beast::http::response<boost::beast::http::span_body<const char>>;

  /// The id of the call; empty once the response is known, and for requests
  /// that were refused while being read.
  std::optional<framework::CallId> Call_;
  /// The attempt id that the caller sent; empty when it sent none.
  std::string AttemptId_;
  bool IsHeadRequest_ = false;
  /// False when the connection closes after this response.
  bool IsKeptAlive_ = true;
  std::optional<Response> Response_;
  /// Owns the bytes that the body of `Response_` refers to.
  std::shared_ptr<const TargetResponse> Source_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_EXCHANGE_H
