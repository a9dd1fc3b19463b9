#include "document/parsedocument.h"

#include "document/tests/readfile.h"

#include <catch2/catch.hpp>

#include <array>

using namespace cranberryspool::document;

namespace {

/// An invalid document: the base document with the first occurrence of one text
/// replaced by another, or the whole document if the old text is empty.
struct InvalidDocument {
  const char *Name_;
  const char *OldText_;
  const char *NewText_;
};

constexpr std::array InvalidDocuments = {
    InvalidDocument{"an extra comma", "[{\"name\": \"north\"},",
                    "[{\"name\": \"north\"},,"},
    InvalidDocument{"text after the end", "  }]\n}", "  }]\n} {}"},
    InvalidDocument{"truncated text",
                    "    \"objectives\": [{\"urgency\": \"urgent\", "
                    "\"latency\": \"50ms\", \"good\": \"99.9%\"}]\n"
                    "  }]\n}",
                    "    \"objectives\": ["},
    InvalidDocument{"an unpaired surrogate", "\"3s\"", "\"\\ud800\""},
    InvalidDocument{"invalid UTF-8 in a comment", "\"list-lag\"",
                    "// \xff\n  \"list-lag\""},
    InvalidDocument{"nesting too deep", "\"3s\"",
                    "[[[[[[[[[[[[[[[[[[0]]]]]]]]]]]]]]]]]]"},
    InvalidDocument{"a duplicate key", "\"list-lag\": \"3s\"",
                    "\"list-lag\": \"3s\", \"list-lag\": \"4s\""},
    InvalidDocument{"unknown keys", "\"idempotent\": true",
                    "\"idempotent\": true, \"retry/s\": 3, \"~\": 4"},
    InvalidDocument{"a misspelt key", "\"slots-per-target\"",
                    "\"slots_per_target\""},
    InvalidDocument{"an array instead of an object", "", "[]"},
    InvalidDocument{"a number instead of a string", "\"3s\"", "3"},
    InvalidDocument{"null instead of an array",
                    "[{\"name\": \"shop-north\", \"zone\": \"north\"}]",
                    "null"},
    InvalidDocument{"a string instead of a boolean", "true", "\"yes\""},
    InvalidDocument{"a fraction instead of an integer", "\"max-instances\": 4",
                    "\"max-instances\": 4.5"},
    InvalidDocument{"a number above the 64-bit signed range",
                    "\"max-instances\": 4",
                    "\"max-instances\": 18446744073709551615"},
    InvalidDocument{"an upper-case name", "\"name\": \"shop\"",
                    "\"name\": \"Shop\""},
    InvalidDocument{"an empty name", "\"name\": \"shop\"", "\"name\": \"\""},
    InvalidDocument{"an unknown unit", "\"800ms\"", "\"800 msec\""},
    InvalidDocument{"a duration without a unit", "\"800ms\"", "\"800\""},
    InvalidDocument{"a deadline of 0", "\"800ms\"", "\"0ms\""},
    InvalidDocument{"a deadline of hours", "\"800ms\"", "\"2h\""},
    InvalidDocument{"a share without a percent sign", "\"99.9%\"", "\"0.999\""},
    InvalidDocument{"a share of 100 %", "\"99.9%\"", "\"100%\""},
    InvalidDocument{"an unknown method", "\"GET\"", "\"FETCH\""},
    InvalidDocument{"a relative path", "\"/shop/items/*\"", "\"shop/items\""},
    InvalidDocument{"a multi-segment wildcard inside a path",
                    "\"/shop/items/*\"", "\"/shop/**/x\""},
    InvalidDocument{"a reserved path", "\"/shop/items/*\"", "\"/_load\""},
    InvalidDocument{"an unknown urgency", "\"urgent\"", "\"high\""},
    InvalidDocument{"too many slots", "\"slots-per-target\": 6",
                    "\"slots-per-target\": 60"},
    InvalidDocument{"a cold-start limit above the slots",
                    "\"max-in-flight\": 1", "\"max-in-flight\": 7"},
    InvalidDocument{"no zones",
                    "[{\"name\": \"north\"}, {\"name\": \"south\"}]", "[]"},
    InvalidDocument{"a duplicate zone", "\"south\"", "\"north\""},
    InvalidDocument{"a duplicate kind", "\"name\": \"buy\"",
                    "\"name\": \"get\""},
    InvalidDocument{"an unknown zone", "\"zone\": \"north\"",
                    "\"zone\": \"west\""},
    InvalidDocument{"overlapping paths",
                    "\"method\": \"POST\", \"path\": \"/shop/orders\"",
                    "\"method\": \"GET\", \"path\": \"/*/items/**\""},
    InvalidDocument{"hedging of a kind that is not idempotent",
                    "\"idempotent\": false",
                    "\"idempotent\": false, \"hedging\": true"},
    InvalidDocument{"several faults in one document",
                    "\"idempotent\": false, \"deadline\": \"2s\"",
                    "\"idempotent\": 0, \"deadline\": 2, \"hedge\": false"},
};

std::string applyReplacement(std::string Text,
                             const InvalidDocument &Replacement) {
  const std::string OldText = Replacement.OldText_;
  if (OldText.empty())
    return Replacement.NewText_;
  const std::size_t Offset = Text.find(OldText);
  REQUIRE(Offset != std::string::npos);
  return Text.replace(Offset, OldText.size(), Replacement.NewText_);
}

/// Returns the formatted faults of each invalid document below its name.
std::string formatAllFaults() {
  const std::string Base = readFile("src/document/tests/invalid/base.json");
  std::string Lines;
  for (const InvalidDocument &Each : InvalidDocuments) {
    INFO(Each.Name_);
    const auto Parsed = parseDocument(applyReplacement(Base, Each));
    REQUIRE_FALSE(Parsed);
    Lines += std::string("# ") + Each.Name_ + "\n";
    for (const DocumentFault &Fault : Parsed.error())
      Lines += formatFault(Fault) + "\n";
  }
  return Lines;
}

} // namespace

TEST_CASE("the base of the invalid documents is valid", "[document]") {
  CHECK(parseDocument(readFile("src/document/tests/invalid/base.json")));
}

TEST_CASE("invalid documents are rejected with the expected faults",
          "[document]") {
  CHECK(formatAllFaults() == readFile("src/document/tests/invalid/faults.txt"));
}

TEST_CASE("a document over the size limit is rejected unparsed", "[document]") {
  std::string Text = readFile("src/document/tests/invalid/base.json");
  Text.resize(MaxDocumentBytes, ' ');
  CHECK(parseDocument(Text));
  Text += ' ';
  const auto Parsed = parseDocument(Text);
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().size() == 1);
  CHECK(Parsed.error()[0].Kind_ == FaultKind::DocumentTooLarge);
}

TEST_CASE("the number of reported faults is limited", "[document]") {
  std::string Text = "{";
  for (std::size_t Index = 0; Index < 3 * MaxReportedFaults; ++Index)
    Text += "\"key" + std::to_string(Index) + "\": 0,";
  Text.back() = '}';
  const auto Parsed = parseDocument(Text);
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().size() == MaxReportedFaults);
}

TEST_CASE("formatted faults escape control characters of the document",
          "[document]") {
  const auto Parsed = parseDocument("{\"\\u001b[2J\": 0}");
  REQUIRE_FALSE(Parsed);
  for (const DocumentFault &Each : Parsed.error())
    CHECK(formatFault(Each).find('\x1b') == std::string::npos);
}
