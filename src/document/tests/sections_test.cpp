#include "document/sections.h"

#include "document/parsedocument.h"
#include "document/tests/readfile.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::document;

namespace {

EnvironmentDocument parseValid(const std::string &Text) {
  const auto Result = parseDocument(Text);
  REQUIRE(Result);
  return Result.value();
}

std::string replaceFirst(std::string Text, const std::string &OldText,
                         const std::string &NewText) {
  const std::size_t Offset = Text.find(OldText);
  REQUIRE(Offset != std::string::npos);
  return Text.replace(Offset, OldText.size(), NewText);
}

} // namespace

TEST_CASE("joined sections parse to an equal document", "[document]") {
  const std::string Path = GENERATE(std::string("examples/lagos.json"),
                                    std::string("examples/central-belt.json"));
  const EnvironmentDocument Document = parseValid(readFile(Path));
  const auto Sections = splitDocument(Document);
  REQUIRE(Sections.size() == 5);
  CHECK(Sections[0].Name_ == "common");
  const EnvironmentDocument Joined = parseValid(joinSections(Sections));
  CHECK(Joined == Document);
  CHECK(splitDocument(Joined) == Sections);
  CHECK(documentDigest(Joined) == digestOfSections(Sections));
}

TEST_CASE("the notation of values does not change the digest", "[document]") {
  const std::string Text = readFile("examples/lagos.json");
  const EnvironmentDocument Document = parseValid(Text);
  const std::string Reformatted = replaceFirst(
      replaceFirst(Text, "\"1s\"", " /* same */ \"1000ms\""),
      R"({"name": "ikeja", "state": "in"})", R"({"name": "ikeja"})");
  CHECK(documentDigest(parseValid(Reformatted)) == documentDigest(Document));
}

TEST_CASE("a changed value changes only the digest of its section",
          "[document]") {
  const std::string Text = readFile("examples/lagos.json");
  const auto Before = splitDocument(parseValid(Text));
  const auto After = splitDocument(parseValid(
      replaceFirst(Text, "\"state\": \"in\"", "\"state\": \"out\"")));
  REQUIRE(After.size() == Before.size());
  CHECK(After[0].Digest_ != Before[0].Digest_);
  for (std::size_t Index = 1; Index < Before.size(); ++Index)
    CHECK(After[Index] == Before[Index]);
  CHECK(digestOfSections(After) != digestOfSections(Before));
}

TEST_CASE("malformed sections give a document that is rejected", "[document]") {
  CHECK_FALSE(parseDocument(joinSections({})));
  CHECK_FALSE(parseDocument(joinSections({{"common", {}, "]"}})));
}
