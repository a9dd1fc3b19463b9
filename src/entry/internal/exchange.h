#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_EXCHANGE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_EXCHANGE_H

#include "entry/types/targetanswer.h"
#include "framework/ids.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include <memory>
#include <optional>

namespace cranberryspool::entry {

/// A request of a caller connection that was read, with its answer once that
/// is known. Answers leave in the order of the requests.
struct Exchange {
  using Response =
      boost::beast::http::response<boost::beast::http::span_body<const char>>;

  /// Empty once answered, and for requests that were refused while reading.
  std::optional<framework::CallId> Call_;
  bool IsHeadRequest_ = false;
  /// False when the connection must close after this answer.
  bool IsKeptAlive_ = true;
  std::optional<Response> Answer_;
  /// Owns the bytes that the answer's body refers to.
  std::shared_ptr<const TargetAnswer> Source_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_EXCHANGE_H
