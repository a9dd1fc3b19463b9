#include "fleet/internal/seeded/revisionaccount.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Instant;
using framework::Revision;

namespace {

std::vector<StoredRecord> changesAt(std::initializer_list<int> Revisions) {
  std::vector<StoredRecord> Changes;
  for (const int Each : Revisions)
    Changes.push_back(
        {"t", "", Revision(static_cast<std::uint64_t>(Each)), false});
  return Changes;
}

constexpr Instant Begin(std::chrono::seconds(100));

} // namespace

TEST_CASE("changes account for the revisions up to the first one that none has",
          "[revisionaccount]") {
  const auto LastAccounted = [](std::initializer_list<int> Revisions) {
    return RevisionAccount::lastAccounted(changesAt(Revisions), Revision(5),
                                          Revision(8));
  };
  CHECK(LastAccounted({6, 7, 8}) == Revision(8));
  CHECK(LastAccounted({4, 5, 6, 6, 7, 8}) == Revision(8));
  CHECK(LastAccounted({8, 7, 6}) == Revision(8));
  CHECK(LastAccounted({6, 8}) == Revision(6));
  CHECK(LastAccounted({6}) == Revision(6));
  CHECK(LastAccounted({}) == Revision(5));
}

TEST_CASE("a gap is closed only by a read that reaches it",
          "[revisionaccount]") {
  RevisionAccount Account;
  Account.recordGap(changesAt({6, 8}), Revision(6), Revision(9));
  Account.recordGap({}, Revision(6), Revision(7));
  CHECK_FALSE(Account.isMissing(Revision(6)));
  CHECK(Account.isMissing(Revision(7)));
  CHECK_FALSE(Account.isMissing(Revision(8)));
  CHECK(Account.isMissing(Revision(9)));
  CHECK_FALSE(Account.isMissing(Revision(10)));
  Account.recordFullRead(Revision(8), true, Begin);
  CHECK(Account.isReadNeeded());
  SECTION("of this instance") {
    Account.recordFullRead(Revision(9), true, Begin);
  }
  SECTION("of another one") { Account.recordProgress(Revision(9)); }
  CHECK_FALSE(Account.isReadNeeded());
}

TEST_CASE("a store is trusted for a while after reads that found nothing, and "
          "not after one that did",
          "[revisionaccount]") {
  RevisionAccount Account;
  const auto Read = [&Account](bool HasFound) {
    Account.recordGap({}, Revision(8), Revision(9));
    Account.recordFullRead(Revision(9), HasFound, Begin);
  };
  Read(false);
  Read(true);
  Read(false);
  CHECK_FALSE(Account.isStoreTrusted(Begin));
  Read(false);
  CHECK(Account.isStoreTrusted(Begin));
  CHECK_FALSE(Account.isStoreTrusted(Begin + std::chrono::seconds(10)));
}
