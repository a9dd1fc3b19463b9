#include "document/readjson.h"

#include "document/blankcomments.h"
#include "document/internal/jsontreebuilder.h"
#include "document/internal/utf8.h"
#include "document/parsedocument.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse_options.hpp>

namespace cranberryspool::document {

namespace {

using Parser = boost::json::basic_parser<JsonTreeBuilder>;
using ErrorCode = boost::json::error_code;

boost::json::parse_options options() {
  boost::json::parse_options Options;
  Options.max_depth = MaxDocumentDepth;
  return Options;
}

JsonParseError toParseError(ErrorCode Error, std::size_t Offset) {
  if (Error == boost::json::error::too_deep)
    return {FaultKind::NestedTooDeep, Offset,
            "at most " + std::to_string(MaxDocumentDepth) + " levels"};
  if (Error == boost::json::error::incomplete)
    return {FaultKind::InvalidSyntax, Offset,
            "more input (" + Error.message() + ")"};
  return {FaultKind::InvalidSyntax, Offset,
          "JSON with comments (" + Error.message() + ")"};
}

/// Passes the whole text to the parser and returns the offset at which it
/// stopped.
std::size_t feedAtOnce(Parser &Reader, std::string_view Text,
                       ErrorCode &Error) {
  const std::size_t Consumed =
      Reader.write_some(false, Text.data(), Text.size(), Error);
  if (!Error && Consumed < Text.size())
    Error = boost::json::error::extra_data;
  return Consumed;
}

/// Passes the text to the parser byte by byte, so that the handler can record
/// offsets, and returns the offset at which it stopped.
std::size_t feedByteByByte(Parser &Reader, std::string_view Text,
                           ErrorCode &Error) {
  for (std::size_t Offset = 0; Offset < Text.size(); ++Offset) {
    Reader.handler().setOffset(Offset);
    const std::size_t Consumed =
        Reader.write_some(true, Text.data() + Offset, 1, Error);
    if (!Error && Consumed == 0)
      Error = boost::json::error::extra_data;
    if (Error)
      return Offset;
  }
  Reader.handler().setOffset(Text.size());
  Reader.write_some(false, Text.data() + Text.size(), 0, Error);
  return Text.size();
}

} // namespace

framework::Result<JsonTree, JsonParseError> readJson(std::string_view Text,
                                                     PositionMode Mode) {
  const bool RecordsOffsets = Mode == PositionMode::With;
  if (const auto Invalid = findInvalidUtf8(Text))
    return framework::failure(
        JsonParseError{FaultKind::InvalidUtf8, *Invalid, "UTF-8 text"});
  const std::string WithoutComments = blankComments(Text);
  Parser Reader(options(), WithoutComments, RecordsOffsets);
  ErrorCode Error;
  const std::size_t Offset =
      RecordsOffsets ? feedByteByByte(Reader, WithoutComments, Error)
                     : feedAtOnce(Reader, WithoutComments, Error);
  if (Error)
    return framework::failure(toParseError(Error, Offset));
  return Reader.handler().takeTree();
}

} // namespace cranberryspool::document
