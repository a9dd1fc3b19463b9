#include "document/kindindex.h"
#include "document/parsedocument.h"
#include "document/tests/readfile.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::document;

TEST_CASE("the example documents are accepted", "[document]") {
  const std::string Path = GENERATE(std::string("examples/lagos.json"),
                                    std::string("examples/central-belt.json"));
  const auto Parsed = parseDocument(readFile(Path));
  if (!Parsed) {
    for (const DocumentFault &Each : Parsed.error())
      UNSCOPED_INFO(formatFault(Each));
  }
  REQUIRE(Parsed);
  CHECK(Parsed.value().Zones_.size() == 3);
  CHECK(Parsed.value().Services_.size() == 4);
  for (const Service &Each : Parsed.value().Services_)
    CHECK(Each.Groups_.size() == 3);
}

TEST_CASE("the Lagos document is parsed with its values", "[document]") {
  using namespace std::chrono_literals;
  const auto Parsed = parseDocument(readFile("examples/lagos.json"));
  REQUIRE(Parsed);
  const KindIndex Index(Parsed.value());
  const auto Match = Index.match("POST", "/certdesk/certificates");
  REQUIRE(Match);
  const Service &Certdesk = Parsed.value().Services_[Match->Service_.value()];
  const RequestKind &Kind = Certdesk.Kinds_[Match->Kind_.value()];
  CHECK(Certdesk.Name_.value() == "certdesk");
  CHECK(Certdesk.SlotsPerTarget_ == 6);
  CHECK(Certdesk.ConnectionsPerTarget_ == 250);
  CHECK(Certdesk.ColdStart_ == ColdStartLimits{1, 10s});
  CHECK(Certdesk.Objectives_[0] == Objective{Urgency::Urgent, 50ms, 999'000});
  CHECK(Kind.Name_.value() == "issue-certificate");
  CHECK_FALSE(Kind.IsIdempotent_);
  CHECK_FALSE(Kind.IsHedgingAllowed_);
  CHECK(Kind.Deadline_ == 2s);
  CHECK(Parsed.value().ListLag_ == 3s);
}
