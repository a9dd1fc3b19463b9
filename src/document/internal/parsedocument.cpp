#include "document/parsedocument.h"

#include "document/faultcollector.h"
#include "document/internal/documentreader.h"
#include "document/readjson.h"

namespace cranberryspool::document {

namespace {

using ParseResult = framework::Result<EnvironmentDocument, DocumentFaults>;

ParseResult parse(std::string_view Text, PositionMode Mode) {
  FaultCollector Faults;
  auto Tree = readJson(Text, Mode);
  if (!Tree) {
    const JsonParseError &ParseError = Tree.error();
    Faults.add(ParseError.Offset_,
               {ParseError.Kind_, "", 0, 0, ParseError.Expected_, ""});
    return framework::failure(Faults.take(Text));
  }
  EnvironmentDocument Document = DocumentReader(Tree.value(), Faults).read();
  if (!Faults.isEmpty())
    return framework::failure(Faults.take(Text));
  return Document;
}

ParseResult reject(std::string_view Text, std::size_t Offset,
                   DocumentFault Fault) {
  FaultCollector Faults;
  Faults.add(Offset, std::move(Fault));
  return framework::failure(Faults.take(Text));
}

} // namespace

ParseResult parseDocument(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    return reject(Text, 0,
                  {FaultKind::DocumentTooLarge, "", 0, 0,
                   "at most " + std::to_string(MaxDocumentBytes) + " bytes",
                   std::to_string(Text.size())});
  auto Parsed = parse(Text, PositionMode::Without);
  if (Parsed)
    return Parsed;
  // Recording positions is slow, so only a rejected text is parsed again to
  // find the positions of its faults.
  return parse(Text, PositionMode::With);
}

} // namespace cranberryspool::document
