#include "document/sections.h"

#include "document/parsedocument.h"
#include "document/tests/readfile.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::document;

namespace {

EnvironmentDocument parsed(const std::string &Text) {
  const auto Result = parseDocument(Text);
  REQUIRE(Result);
  return Result.value();
}

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  const std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

} // namespace

TEST_CASE("joined sections parse to the same document", "[document]") {
  const std::string Path = GENERATE(std::string("examples/lagos.json"),
                                    std::string("examples/central-belt.json"));
  const EnvironmentDocument Document = parsed(readFile(Path));
  const auto Sections = splitDocument(Document);
  REQUIRE(Sections.size() == 5);
  CHECK(Sections[0].Name_ == "common");
  const EnvironmentDocument Joined = parsed(joinSections(Sections));
  CHECK(Joined == Document);
  CHECK(splitDocument(Joined) == Sections);
  CHECK(documentDigest(Joined) == digestOfSections(Sections));
}

TEST_CASE("spelling does not change a digest", "[document]") {
  const std::string Text = readFile("examples/lagos.json");
  const EnvironmentDocument Document = parsed(Text);
  const std::string Respelled =
      replaced(replaced(Text, "\"1s\"", " /* same */ \"1000ms\""),
               R"({"name": "ikeja", "state": "in"})", R"({"name": "ikeja"})");
  CHECK(documentDigest(parsed(Respelled)) == documentDigest(Document));
}

TEST_CASE("a changed value changes the digest of its section only",
          "[document]") {
  const std::string Text = readFile("examples/lagos.json");
  const auto Before = splitDocument(parsed(Text));
  const auto After = splitDocument(
      parsed(replaced(Text, "\"state\": \"in\"", "\"state\": \"out\"")));
  REQUIRE(After.size() == Before.size());
  CHECK(After[0].Digest_ != Before[0].Digest_);
  for (std::size_t At = 1; At < Before.size(); ++At)
    CHECK(After[At] == Before[At]);
  CHECK(digestOfSections(After) != digestOfSections(Before));
}

TEST_CASE("sections of malformed text give a refused document", "[document]") {
  CHECK_FALSE(parseDocument(joinSections({})));
  CHECK_FALSE(parseDocument(joinSections({{"common", {}, "]"}})));
}
