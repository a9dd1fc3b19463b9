#include "document/parsedocument.h"

#include "document/tests/readfile.h"

#include <catch2/catch.hpp>

#include <array>

using namespace cranberryspool::document;

namespace {

/// A wrong document: the base document with one text replaced by another, or
/// all of it when the old text is empty.
struct WrongDocument {
  const char *Name_;
  const char *Old_;
  const char *New_;
};

constexpr std::array WrongDocuments = {
    WrongDocument{"a comma too many", "[{\"name\": \"north\"},",
                  "[{\"name\": \"north\"},,"},
    WrongDocument{"text after the end", "  }]\n}", "  }]\n} {}"},
    WrongDocument{"cut short",
                  "    \"objectives\": [{\"urgency\": \"urgent\", "
                  "\"latency\": \"50ms\", \"good\": \"99.9%\"}]\n"
                  "  }]\n}",
                  "    \"objectives\": ["},
    WrongDocument{"half a surrogate pair", "\"3s\"", "\"\\ud800\""},
    WrongDocument{"invalid UTF-8 in a comment", "\"list-lag\"",
                  "// \xff\n  \"list-lag\""},
    WrongDocument{"nested too deep", "\"3s\"",
                  "[[[[[[[[[[[[[[[[[[0]]]]]]]]]]]]]]]]]]"},
    WrongDocument{"a doubled key", "\"list-lag\": \"3s\"",
                  "\"list-lag\": \"3s\", \"list-lag\": \"4s\""},
    WrongDocument{"unknown keys", "\"idempotent\": true",
                  "\"idempotent\": true, \"retry/s\": 3, \"~\": 4"},
    WrongDocument{"a misspelt key", "\"slots-per-target\"",
                  "\"slots_per_target\""},
    WrongDocument{"an array for an object", "", "[]"},
    WrongDocument{"a number for a string", "\"3s\"", "3"},
    WrongDocument{"null for a list",
                  "[{\"name\": \"shop-north\", \"zone\": \"north\"}]", "null"},
    WrongDocument{"a string for a flag", "true", "\"yes\""},
    WrongDocument{"a fraction for a count", "\"max-instances\": 4",
                  "\"max-instances\": 4.5"},
    WrongDocument{"a huge number", "\"max-instances\": 4",
                  "\"max-instances\": 18446744073709551615"},
    WrongDocument{"an upper-case name", "\"name\": \"shop\"",
                  "\"name\": \"Shop\""},
    WrongDocument{"an empty name", "\"name\": \"shop\"", "\"name\": \"\""},
    WrongDocument{"an unknown unit", "\"800ms\"", "\"800 msec\""},
    WrongDocument{"a duration without unit", "\"800ms\"", "\"800\""},
    WrongDocument{"a deadline of 0", "\"800ms\"", "\"0ms\""},
    WrongDocument{"a deadline of hours", "\"800ms\"", "\"2h\""},
    WrongDocument{"a share without percent", "\"99.9%\"", "\"0.999\""},
    WrongDocument{"a share of all", "\"99.9%\"", "\"100%\""},
    WrongDocument{"an unknown method", "\"GET\"", "\"FETCH\""},
    WrongDocument{"a relative path", "\"/shop/items/*\"", "\"shop/items\""},
    WrongDocument{"rest inside a path", "\"/shop/items/*\"", "\"/shop/**/x\""},
    WrongDocument{"a reserved path", "\"/shop/items/*\"", "\"/_load\""},
    WrongDocument{"an unknown urgency", "\"urgent\"", "\"high\""},
    WrongDocument{"too many slots", "\"slots-per-target\": 6",
                  "\"slots-per-target\": 60"},
    WrongDocument{"a cold start above the slots", "\"max-in-flight\": 1",
                  "\"max-in-flight\": 7"},
    WrongDocument{"no zones", "[{\"name\": \"north\"}, {\"name\": \"south\"}]",
                  "[]"},
    WrongDocument{"a zone twice", "\"south\"", "\"north\""},
    WrongDocument{"a kind twice", "\"name\": \"buy\"", "\"name\": \"get\""},
    WrongDocument{"an unknown zone", "\"zone\": \"north\"",
                  "\"zone\": \"west\""},
    WrongDocument{"overlapping paths",
                  "\"method\": \"POST\", \"path\": \"/shop/orders\"",
                  "\"method\": \"GET\", \"path\": \"/*/items/**\""},
    WrongDocument{"hedging of a call that must not repeat",
                  "\"idempotent\": false",
                  "\"idempotent\": false, \"hedging\": true"},
    WrongDocument{"several faults at once",
                  "\"idempotent\": false, \"deadline\": \"2s\"",
                  "\"idempotent\": 0, \"deadline\": 2, \"hedge\": false"},
};

std::string replaced(std::string Text, const WrongDocument &Wrong) {
  const std::string Old = Wrong.Old_;
  if (Old.empty())
    return Wrong.New_;
  const std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), Wrong.New_);
}

/// Returns the faults of each wrong document under its name.
std::string faultsOfAll() {
  const std::string Base = readFile("src/document/tests/wrong/base.json");
  std::string Lines;
  for (const WrongDocument &Each : WrongDocuments) {
    INFO(Each.Name_);
    const auto Parsed = parseDocument(replaced(Base, Each));
    REQUIRE_FALSE(Parsed);
    Lines += std::string("# ") + Each.Name_ + "\n";
    for (const DocumentFault &Fault : Parsed.error())
      Lines += formatFault(Fault) + "\n";
  }
  return Lines;
}

} // namespace

TEST_CASE("the base of the wrong documents is right", "[document]") {
  CHECK(parseDocument(readFile("src/document/tests/wrong/base.json")));
}

TEST_CASE("wrong documents are refused with clear faults", "[document]") {
  CHECK(faultsOfAll() == readFile("src/document/tests/wrong/faults.txt"));
}

TEST_CASE("a document over the limit is refused unread", "[document]") {
  std::string Text = readFile("src/document/tests/wrong/base.json");
  Text.resize(MaxDocumentBytes, ' ');
  CHECK(parseDocument(Text));
  Text += ' ';
  const auto Parsed = parseDocument(Text);
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().size() == 1);
  CHECK(Parsed.error()[0].Kind_ == FaultKind::DocumentTooLarge);
}

TEST_CASE("the number of reported faults is bounded", "[document]") {
  std::string Text = "{";
  for (std::size_t At = 0; At < 3 * MaxReportedFaults; ++At)
    Text += "\"key" + std::to_string(At) + "\": 0,";
  Text.back() = '}';
  const auto Parsed = parseDocument(Text);
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().size() == MaxReportedFaults);
}

TEST_CASE("control characters of a document do not reach the terminal",
          "[document]") {
  const auto Parsed = parseDocument("{\"\\u001b[2J\": 0}");
  REQUIRE_FALSE(Parsed);
  for (const DocumentFault &Each : Parsed.error())
    CHECK(formatFault(Each).find('\x1b') == std::string::npos);
}
