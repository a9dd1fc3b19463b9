// Checks that any text is either rejected with faults that can be printed
// safely, or parsed to a document that can be split into sections and joined
// again without a change.

#include "document/kindindex.h"
#include "document/parsedocument.h"
#include "document/sections.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

using namespace cranberryspool::document;

namespace {

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

void checkFault(const DocumentFault &Fault) {
  require(Fault.Line_ >= 1 && Fault.Column_ >= 1);
  require(!Fault.Expected_.empty());
  const std::string Line = formatFault(Fault);
  require(std::none_of(Line.begin(), Line.end(), [](char Character) {
    return static_cast<unsigned char>(Character) < ' ';
  }));
}

void checkDocument(const EnvironmentDocument &Document) {
  const auto Sections = splitDocument(Document);
  const auto Joined = parseDocument(joinSections(Sections));
  require(Joined.has_value());
  require(Joined.value() == Document);
  require(splitDocument(Joined.value()) == Sections);
  const KindIndex Index(Document);
  for (const Service &Each : Document.Services_) {
    for (const RequestKind &Kind : Each.Kinds_) {
      const auto Match = Index.match(Kind.Method_, Kind.PathPattern_);
      require(Match.has_value());
      const Service &Matched = Document.Services_[Match->Service_.value()];
      require(Matched.Kinds_[Match->Kind_.value()] == Kind);
    }
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const auto Parsed =
      parseDocument({reinterpret_cast<const char *>(Data), Size});
  if (Parsed) {
    checkDocument(Parsed.value());
    return 0;
  }
  require(!Parsed.error().empty());
  for (const DocumentFault &Each : Parsed.error())
    checkFault(Each);
  return 0;
}
