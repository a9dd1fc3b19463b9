#include "document/blankcomments.h"

#include "document/parsedocument.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::document;

TEST_CASE("comments are replaced by spaces of the same length", "[document]") {
  CHECK(blankComments("{// a \"b\n}") == "{       \n}");
  CHECK(blankComments("[1/* \n */, 2]") == "[1   \n   , 2]");
  CHECK(blankComments("1//") == "1  ");
}

TEST_CASE("text that only resembles a comment is unchanged", "[document]") {
  const std::string Text =
      GENERATE(std::string("\"http://a/*b*/\""), std::string("\"\\\"//\""),
               std::string("1 / 2"), std::string("1 /* never ends"),
               std::string("\"never ends // \\"));
  CHECK(blankComments(Text) == Text);
}

TEST_CASE("a comment in invalid text does not cause an out-of-bounds read",
          "[document]") {
  // Found by fuzz_document: the comment option of Boost.JSON reads past the end
  // of this text.
  const auto Parsed = parseDocument("{\n  \"mas\": [{\"name\": // Staff phone "
                                    "fleet gateway, Central Belt\"n.o\n{");
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error()[0].Kind_ == FaultKind::InvalidSyntax);
  CHECK(Parsed.error()[0].Line_ == 3);
}
