#include "calls/requestquarantine.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cranberryspool;
using namespace cranberryspool::calls;
using framework::Instant;
using framework::TargetName;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const Instant Start{seconds(100)};
constexpr RequestFingerprint Request{1, 1};

bool recordCrash(RequestQuarantine &Quarantine, const std::string &Target,
                 Instant At, const RequestFingerprint &Of = Request) {
  return Quarantine.merge({Of, {TargetCrash{TargetName(Target), At}}}, At);
}

/// Returns a quarantine that holds the request after crashes at `Start`.
RequestQuarantine makeQuarantine() {
  RequestQuarantine Quarantine;
  for (const char *Target : {"t1", "t2", "t3"})
    recordCrash(Quarantine, Target, Start);
  return Quarantine;
}

} // namespace

TEST_CASE("a request is quarantined after it has crashed three targets",
          "[crash]") {
  RequestQuarantine Quarantine;
  CHECK(recordCrash(Quarantine, "t1", Start));
  CHECK(recordCrash(Quarantine, "t2", Start + seconds(1)));
  CHECK_FALSE(Quarantine.timeLeft(Request, Start + seconds(1)));
  CHECK(recordCrash(Quarantine, "t1", Start + seconds(4)));
  CHECK(Quarantine.timeLeft(Request, Start + seconds(4)) ==
        framework::Duration(RequestQuarantine::Period));
  CHECK(Quarantine.quarantinedCount(Start + seconds(4)) == 1);
  CHECK_FALSE(Quarantine.timeLeft({2, 2}, Start + seconds(4)));
}

TEST_CASE("one crash reported by several instances counts once", "[crash]") {
  RequestQuarantine Quarantine;
  CHECK(recordCrash(Quarantine, "t1", Start));
  CHECK_FALSE(recordCrash(Quarantine, "t1", Start + milliseconds(300)));
  CHECK_FALSE(recordCrash(Quarantine, "t1", Start - milliseconds(300)));
  CHECK(Quarantine.records().at(Request).Crashes_.size() == 1);
}

TEST_CASE("a request that a target completes is cleared of earlier crashes",
          "[crash]") {
  RequestQuarantine Quarantine = makeQuarantine();
  CHECK(Quarantine.recordCompleted(Request, Start + seconds(1)));
  CHECK_FALSE(Quarantine.timeLeft(Request, Start + seconds(1)));
  // Other instances may still report them.
  for (const char *Target : {"t1", "t2", "t3"})
    CHECK_FALSE(recordCrash(Quarantine, Target, Start));
  CHECK_FALSE(Quarantine.recordCompleted(Request, Start + seconds(2)));
  CHECK(recordCrash(Quarantine, "t4", Start + seconds(3)));
  CHECK_FALSE(Quarantine.timeLeft(Request, Start + seconds(3)));
}

TEST_CASE("what another instance knows of a completed request clears it here",
          "[crash]") {
  RequestQuarantine Quarantine = makeQuarantine();
  CHECK(
      Quarantine.merge({Request, {}, Start + seconds(1)}, Start + seconds(2)));
  CHECK_FALSE(Quarantine.timeLeft(Request, Start + seconds(2)));
}

TEST_CASE("a quarantine ends, and one more crash begins it again", "[crash]") {
  RequestQuarantine Quarantine = makeQuarantine();
  const Instant End = Start + RequestQuarantine::Period;
  CHECK(Quarantine.timeLeft(Request, End - seconds(1)) ==
        framework::Duration(seconds(1)));
  CHECK_FALSE(Quarantine.timeLeft(Request, End));
  CHECK(recordCrash(Quarantine, "t4", End + seconds(1)));
  CHECK(Quarantine.timeLeft(Request, End + seconds(1)));
  Quarantine.expire(End + minutes(90));
  CHECK(Quarantine.records().empty());
}

TEST_CASE("requests lost in a mass crash do not displace a quarantined one",
          "[crash]") {
  RequestQuarantine Quarantine = makeQuarantine();
  for (std::uint64_t Id = 2; Id < 5'000; ++Id)
    recordCrash(Quarantine, "t9", Start + seconds(1), {Id, Id});
  CHECK(Quarantine.records().size() == RequestQuarantine::MaxRecords);
  CHECK(Quarantine.timeLeft(Request, Start + seconds(2)));
}

TEST_CASE("a request without a fingerprint is not recorded", "[crash]") {
  RequestQuarantine Quarantine;
  CHECK_FALSE(recordCrash(Quarantine, "t1", Start, RequestFingerprint()));
  CHECK(Quarantine.records().empty());
}
