#include "document/kindindex.h"
#include "document/types/environmentdocument.h"

#include <catch2/catch.hpp>

using namespace cranberryspool::document;

namespace {

RequestKind makeKind(std::string Method, std::string Path) {
  RequestKind Kind;
  Kind.Method_ = std::move(Method);
  Kind.PathPattern_ = std::move(Path);
  return Kind;
}

/// Returns the position of the matching kind, or -1 if none matches.
int positionOf(const KindIndex &Index, std::string_view Method,
               std::string_view Path) {
  const auto Match = Index.match(Method, Path);
  return Match ? static_cast<int>(Match->Kind_.value()) : -1;
}

KindIndex makeIndex(std::vector<RequestKind> Kinds) {
  EnvironmentDocument Document;
  Document.Services_.emplace_back().Kinds_ = std::move(Kinds);
  return KindIndex(Document);
}

} // namespace

TEST_CASE("requests are matched to kinds by method and path", "[document]") {
  const KindIndex Index =
      makeIndex({makeKind("GET", "/a/*/c"), makeKind("GET", "/a/b/d"),
                 makeKind("POST", "/a/*/c"), makeKind("GET", "/rest/**"),
                 makeKind("GET", "/")});
  CHECK(positionOf(Index, "GET", "/a/x/c") == 0);
  CHECK(positionOf(Index, "GET", "/a/b/d") == 1);
  // The literal branch fails at the last segment, so the lookup backtracks to
  // the wildcard branch.
  CHECK(positionOf(Index, "GET", "/a/b/c") == 0);
  CHECK(positionOf(Index, "POST", "/a/b/c") == 2);
  CHECK(positionOf(Index, "GET", "/a/b/c?piece=1/2") == 0);
  CHECK(positionOf(Index, "GET", "/rest") == 3);
  CHECK(positionOf(Index, "GET", "/rest/1/2/3") == 3);
  CHECK(positionOf(Index, "GET", "/") == 4);
}

TEST_CASE("requests that match no kind are rejected", "[document]") {
  const KindIndex Index =
      makeIndex({makeKind("GET", "/a/*/c"), makeKind("GET", "/rest/**")});
  CHECK(positionOf(Index, "DELETE", "/a/b/c") == -1);
  CHECK(positionOf(Index, "get", "/a/b/c") == -1);
  CHECK(positionOf(Index, "GET", "/a/b") == -1);
  CHECK(positionOf(Index, "GET", "/a/b/c/d") == -1);
  CHECK(positionOf(Index, "GET", "") == -1);
  CHECK(positionOf(Index, "GET", "http://host/a/b/c") == -1);
}

TEST_CASE("ambiguous paths match no kind", "[document]") {
  const KindIndex Index =
      makeIndex({makeKind("GET", "/a/*/c"), makeKind("GET", "/rest/**"),
                 makeKind("PUT", "/**")});
  const std::string Path = GENERATE(
      std::string("/a//c"), std::string("/a/../c"), std::string("/a/%2E./c"),
      std::string("/rest/./x"), std::string("/rest/x%2fy"),
      std::string("/rest/x%5Cy"), std::string("/rest/x\\y"),
      std::string("/rest/"), std::string("/a/b/c/"));
  CAPTURE(Path);
  CHECK(positionOf(Index, "GET", Path) == -1);
  CHECK(positionOf(Index, "PUT", Path) == -1);
  CHECK(positionOf(Index, "PUT", "/_load") == -1);
  CHECK(positionOf(Index, "PUT", "/a/...") == 2);
}
