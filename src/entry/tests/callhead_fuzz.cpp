// Fuzzes request heads. A head that passes validation must be parsed by the
// HTTP library into the same fields, and the forwarded fields must contain no
// framing and no hop-by-hop field.

#include "entry/defaulthttpprofile.h"
#include "entry/internal/callfields.h"
#include "entry/internal/fieldtext.h"
#include "entry/internal/headvalidation.h"
#include "entry/internal/workspacefields.h"

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

constexpr std::string_view HeadTerminator = "\r\n\r\n";

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

std::size_t countFields(std::string_view Head) {
  std::size_t Lines = 0;
  for (std::size_t Position = Head.find("\r\n");
       Position != std::string_view::npos;
       Position = Head.find("\r\n", Position + 2))
    ++Lines;
  // The request line and the empty line hold no field.
  return Lines - 2;
}

void checkForwarded(const std::vector<HeaderField> &Fields) {
  for (const HeaderField &Field :
       forwardableRequestFields(Fields, defaultHttpProfile())) {
    require(!equalsIgnoreCase(Field.Name_, "Content-Length"));
    require(!equalsIgnoreCase(Field.Name_, "Transfer-Encoding"));
    require(!equalsIgnoreCase(Field.Name_, "Connection"));
    require(!equalsIgnoreCase(Field.Name_, "Attempt-Id"));
    require(Field.Value_.find_first_of("\r\n") == std::string::npos);
    require(Field.Value_.find('\0') == std::string::npos);
  }
}

/// A key or a workspace that the caller names must not stay among the fields
/// that are always forwarded.
void checkCredentialTaken(const std::vector<HeaderField> &Fields) {
  const HttpProfile Profile = defaultHttpProfile();
  std::vector<HeaderField> Forwarded =
      forwardableRequestFields(Fields, Profile);
  const std::size_t Count = Forwarded.size();
  const std::size_t Taken = takeCredentialFields(Forwarded, Profile).size();
  require(Forwarded.size() + Taken == Count);
  for (const HeaderField &Field : Forwarded) {
    require(!equalsIgnoreCase(Field.Name_, "Authorization"));
    require(!equalsIgnoreCase(Field.Name_, "Workspace"));
  }
}

void checkAccepted(std::string_view Head) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(static_cast<std::uint32_t>(Head.size() + 1));
  Parser.body_limit(1024 * 1024);
  boost::system::error_code Error;
  const std::size_t ConsumedBytes =
      Parser.put(boost::asio::buffer(Head.data(), Head.size()), Error);
  if (Error)
    return;
  require(ConsumedBytes == Head.size());
  require(Parser.is_header_done());
  std::vector<HeaderField> Fields;
  for (const auto &Field : Parser.get())
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  require(Fields.size() == countFields(Head));
  require(!(Parser.chunked() && Parser.content_length()));
  const auto Metadata = readCallFields(Fields, defaultHttpProfile());
  if (Metadata)
    require(Metadata.value().Attempt_ >= 1);
  checkForwarded(Fields);
  checkCredentialTaken(Fields);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const std::size_t End = Text.find(HeadTerminator);
  if (End == std::string_view::npos) {
    require(!validateRequestHead(Text));
    return 0;
  }
  const std::string_view Head = Text.substr(0, End + HeadTerminator.size());
  if (validateRequestHead(Head))
    checkAccepted(Head);
  return 0;
}
