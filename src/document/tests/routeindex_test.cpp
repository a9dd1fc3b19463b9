#include "document/routeindex.h"
#include "document/types/environmentdocument.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::document;

namespace {

EnvironmentDocument makeDocument() {
  EnvironmentDocument Document;
  const auto AddRoute = [&](std::string Host, std::string Prefix) {
    Route Added;
    Added.Host_ = std::move(Host);
    Added.PathPrefix_ = std::move(Prefix);
    Document.Routes_.push_back(std::move(Added));
  };
  AddRoute("pieces.example", "/a/");
  AddRoute("pieces.example", "/a/b/");
  AddRoute("other.example", "/");
  return Document;
}

} // namespace

TEST_CASE("the route with the longest path prefix is selected", "[routes]") {
  const EnvironmentDocument Document = makeDocument();
  const RouteIndex Index(Document);
  CHECK(Index.match("pieces.example", "/a/x") == 0);
  CHECK(Index.match("pieces.example", "/a/b/") == 1);
  CHECK(Index.match("pieces.example", "/a/b/c/d?q=/a/") == 1);
  CHECK(Index.match("pieces.example", "/a/bc") == 0);
  CHECK_FALSE(Index.match("pieces.example", "/b/a/"));
  CHECK_FALSE(Index.match("pieces.example", "/a"));
  CHECK_FALSE(Index.match("pieces.example", "a"));
}

TEST_CASE("hosts are compared without case and port", "[routes]") {
  const EnvironmentDocument Document = makeDocument();
  const RouteIndex Index(Document);
  CHECK(Index.match("OTHER.example:8080", "/anything") == 2);
  CHECK_FALSE(Index.match("unknown.example", "/a/x"));
  CHECK_FALSE(Index.match("", "/a/x"));
}
