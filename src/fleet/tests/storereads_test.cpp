#include "fleet/internal/seeded/storereads.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;
using framework::Duration;
using framework::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant Start(seconds(100));

} // namespace

TEST_CASE("a watch is late only after its wait", "[storereads]") {
  StoreReads Reads{ReadTiming(seconds(2))};
  Reads.recordAnswer(ReadKind::AllRecords, milliseconds(4));
  Reads.start(ReadKind::Changes,
              {.StartedAt_ = Start, .Wait_ = milliseconds(800)});
  CHECK_FALSE(Reads.areLate(Start + milliseconds(900)));
  CHECK(Reads.areLate(Start + milliseconds(1'000)));
}

TEST_CASE("a store that is slow throughout is not asked twice at once",
          "[storereads]") {
  StoreReads Reads{ReadTiming(seconds(2))};
  Reads.recordAnswer(ReadKind::AllRecords, milliseconds(270));
  Reads.recordAnswer(ReadKind::Changes, milliseconds(900));
  Reads.start(ReadKind::Changes, {.StartedAt_ = Start});
  CHECK_FALSE(Reads.areLate(Start + milliseconds(500)));
  CHECK(Reads.areLate(Start + milliseconds(540)));
}

TEST_CASE("a store whose answers take longer than the time limit of a read is "
          "read in the end",
          "[storereads]") {
  StoreReads Reads{ReadTiming(seconds(2))};
  const bool IsLoaded = GENERATE(false, true);
  for (const ReadKind Kind : {ReadKind::AllRecords, ReadKind::Changes}) {
    for (int Count = 0; Count < 2; ++Count)
      Reads.recordTimeout(Kind);
    CHECK(Reads.timeLimit(Kind, IsLoaded) == Duration(milliseconds(2'400)));
    Reads.recordAnswer(Kind, milliseconds(2'000));
    CHECK(Reads.timeLimit(Kind, IsLoaded) >= Duration(milliseconds(600)));
  }
}

TEST_CASE("an answer that arrives on a slow link is not made later by another "
          "read",
          "[storereads]") {
  StoreReads Reads{ReadTiming(seconds(2))};
  Reads.start(ReadKind::Changes, {.StartedAt_ = Start});
  Reads.markArriving(ReadKind::Changes);
  CHECK(Reads.isAnswerArriving());
  CHECK_FALSE(Reads.areLate(Start + milliseconds(1'200)));
  CHECK(Reads.areLate(Start + milliseconds(1'300)));
  Reads.end(ReadKind::Changes, Start + milliseconds(1'300));
  CHECK_FALSE(Reads.isAnswerArriving());
  CHECK(Reads.isIdle());
}
