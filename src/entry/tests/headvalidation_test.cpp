#include "entry/internal/headvalidation.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::entry;

namespace {

struct InvalidHead {
  const char *Text_;
  RequestHeadError Error_;
};

} // namespace

TEST_CASE("valid heads are accepted", "[entry]") {
  const char *Text = GENERATE(
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /a?b=c HTTP/1.0\r\n\r\n",
      "POST /a HTTP/1.1\r\nhost:a\r\nContent-Length: 3\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nX-Empty:\r\nX-Tab: a\tb\r\n\r\n");
  CAPTURE(Text);
  CHECK(validateRequestHead(Text));
}

TEST_CASE("invalid and ambiguous heads are rejected", "[entry]") {
  const InvalidHead Invalid = GENERATE(
      InvalidHead{"GET /\r\n\r\n", RequestHeadError::RequestLine},
      InvalidHead{"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
                  RequestHeadError::RequestLine},
      InvalidHead{"get / HTTP/1.1\r\nHost: a\r\n\r\n",
                  RequestHeadError::Method},
      InvalidHead{"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
                  RequestHeadError::Method},
      InvalidHead{"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
                  RequestHeadError::RequestTarget},
      InvalidHead{"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
                  RequestHeadError::RequestTarget},
      InvalidHead{"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
                  RequestHeadError::Version},
      InvalidHead{"GET / HTTP/1.1\nHost: a\r\n\r\n",
                  RequestHeadError::LineEnding},
      InvalidHead{"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
                  RequestHeadError::LineEnding},
      InvalidHead{"GET / HTTP/1.1\r\nHost: a\r\n",
                  RequestHeadError::LineEnding},
      InvalidHead{"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",
                  RequestHeadError::FoldedField},
      InvalidHead{"GET / HTTP/1.1\r\n\tHost: a\r\n\r\n",
                  RequestHeadError::FoldedField},
      InvalidHead{"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
                  RequestHeadError::FieldName},
      InvalidHead{"GET / HTTP/1.1\r\nHost\r\n\r\n",
                  RequestHeadError::FieldName},
      InvalidHead{"GET / HTTP/1.1\r\n: a\r\n\r\n", RequestHeadError::FieldName},
      InvalidHead{"GET / HTTP/1.1\r\nHost: a\x01\r\n\r\n",
                  RequestHeadError::FieldValue},
      InvalidHead{"GET / HTTP/1.1\r\n\r\n", RequestHeadError::Host},
      InvalidHead{"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                  RequestHeadError::Host},
      InvalidHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  RequestHeadError::BothLengths},
      InvalidHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                  "Content-Length: 1\r\n\r\n",
                  RequestHeadError::RepeatedLength},
      InvalidHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
                  RequestHeadError::BadLength},
      InvalidHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n",
                  RequestHeadError::BadLength},
      InvalidHead{"POST / HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 99999999999999999999\r\n\r\n",
                  RequestHeadError::BadLength},
      InvalidHead{"POST / HTTP/1.1\r\nHost: a\r\n"
                  "Transfer-Encoding: gzip, chunked\r\n\r\n",
                  RequestHeadError::TransferCoding},
      InvalidHead{
          "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n"
          "\r\n",
          RequestHeadError::TransferCoding},
      InvalidHead{"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
                  RequestHeadError::TransferCoding});
  CAPTURE(Invalid.Text_);
  const auto Result = validateRequestHead(Invalid.Text_);
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Invalid.Error_);
}
