#include "entry/internal/headshape.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::entry;

namespace {

struct BadHead {
  const char *Text_;
  HeadFault Fault_;
};

} // namespace

TEST_CASE("ordinary heads are accepted", "[entry]") {
  const char *Text = GENERATE(
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /a?b=c HTTP/1.0\r\n\r\n",
      "POST /a HTTP/1.1\r\nhost:a\r\nContent-Length: 3\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nX-Empty:\r\nX-Tab: a\tb\r\n\r\n");
  CAPTURE(Text);
  CHECK(checkHeadShape(Text));
}

TEST_CASE("heads that two readers could take differently are refused",
          "[entry]") {
  const BadHead Bad = GENERATE(
      BadHead{"GET /\r\n\r\n", HeadFault::RequestLine},
      BadHead{"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", HeadFault::RequestLine},
      BadHead{"get / HTTP/1.1\r\nHost: a\r\n\r\n", HeadFault::Method},
      BadHead{"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", HeadFault::Method},
      BadHead{"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
              HeadFault::RequestTarget},
      BadHead{"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", HeadFault::RequestTarget},
      BadHead{"GET / HTTP/2.0\r\nHost: a\r\n\r\n", HeadFault::Version},
      BadHead{"GET / HTTP/1.1\nHost: a\r\n\r\n", HeadFault::LineEnding},
      BadHead{"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n", HeadFault::LineEnding},
      BadHead{"GET / HTTP/1.1\r\nHost: a\r\n", HeadFault::LineEnding},
      BadHead{"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",
              HeadFault::FoldedField},
      BadHead{"GET / HTTP/1.1\r\n\tHost: a\r\n\r\n", HeadFault::FoldedField},
      BadHead{"GET / HTTP/1.1\r\nHost : a\r\n\r\n", HeadFault::FieldName},
      BadHead{"GET / HTTP/1.1\r\nHost\r\n\r\n", HeadFault::FieldName},
      BadHead{"GET / HTTP/1.1\r\n: a\r\n\r\n", HeadFault::FieldName},
      BadHead{"GET / HTTP/1.1\r\nHost: a\x01\r\n\r\n", HeadFault::FieldValue},
      BadHead{"GET / HTTP/1.1\r\n\r\n", HeadFault::Host},
      BadHead{"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", HeadFault::Host},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              HeadFault::BothLengths},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
              "Content-Length: 1\r\n\r\n",
              HeadFault::RepeatedLength},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
              HeadFault::BadLength},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n",
              HeadFault::BadLength},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\n"
              "Content-Length: 99999999999999999999\r\n\r\n",
              HeadFault::BadLength},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\n"
              "Transfer-Encoding: gzip, chunked\r\n\r\n",
              HeadFault::TransferCoding},
      BadHead{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n"
              "\r\n",
              HeadFault::TransferCoding},
      BadHead{"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
              HeadFault::TransferCoding});
  CAPTURE(Bad.Text_);
  const auto Verdict = checkHeadShape(Bad.Text_);
  REQUIRE_FALSE(Verdict);
  CHECK(Verdict.error() == Bad.Fault_);
}
