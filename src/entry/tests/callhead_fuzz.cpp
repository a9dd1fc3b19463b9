// A head that passes the shape check reads the same to the HTTP library, and
// what is forwarded of it carries no framing and no hop-by-hop field.

#include "entry/defaulthttpprofile.h"
#include "entry/internal/callfields.h"
#include "entry/internal/fieldtext.h"
#include "entry/internal/headshape.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace cranberryspool::entry;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

std::size_t countFields(std::string_view Raw) {
  std::size_t Lines = 0;
  for (std::size_t At = Raw.find("\r\n"); At != std::string_view::npos;
       At = Raw.find("\r\n", At + 2))
    ++Lines;
  // The request line and the empty line hold no field.
  return Lines - 2;
}

void checkForwarded(const std::vector<HeaderField> &Fields) {
  for (const HeaderField &Each :
       forwardableRequestFields(Fields, defaultHttpProfile())) {
    require(!isSameField(Each.Name_, "Content-Length"));
    require(!isSameField(Each.Name_, "Transfer-Encoding"));
    require(!isSameField(Each.Name_, "Connection"));
    require(!isSameField(Each.Name_, "Attempt-Id"));
    require(Each.Value_.find_first_of("\r\n") == std::string::npos);
    require(Each.Value_.find('\0') == std::string::npos);
  }
}

void checkAccepted(std::string_view Raw) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(static_cast<std::uint32_t>(Raw.size() + 1));
  Parser.body_limit(1024 * 1024);
  boost::system::error_code Error;
  const std::size_t Used =
      Parser.put(boost::asio::buffer(Raw.data(), Raw.size()), Error);
  if (Error)
    return;
  require(Used == Raw.size());
  require(Parser.is_header_done());
  std::vector<HeaderField> Fields;
  for (const auto &Field : Parser.get())
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  require(Fields.size() == countFields(Raw));
  require(!(Parser.chunked() && Parser.content_length()));
  const auto Head = readCallFields(Fields, defaultHttpProfile());
  if (Head)
    require(Head.value().Attempt_ >= 1);
  checkForwarded(Fields);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const std::size_t End = Text.find(HeadEnd);
  if (End == std::string_view::npos) {
    require(!checkHeadShape(Text));
    return 0;
  }
  const std::string_view Raw = Text.substr(0, End + HeadEnd.size());
  if (checkHeadShape(Raw))
    checkAccepted(Raw);
  return 0;
}
