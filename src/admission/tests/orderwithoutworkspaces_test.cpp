#include "admission/admissionqueue.h"
#include "framework/random.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::admission;
using namespace cranberryspool::framework;
using document::Urgency;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A hash of all that the queue answers (FNV-1a).
class Transcript {
public:
  void add(std::uint64_t Value) { Hash_ = (Hash_ ^ Value) * 0x100000001b3U; }
  std::uint64_t hash() const { return Hash_; }

private:
  std::uint64_t Hash_ = 0xcbf29ce484222325U;
};

QueuedCall randomCall(Random &Rng, std::uint64_t Id, Instant Now) {
  QueuedCall Call{CallId(Id), ServiceId(0),
                  Rng.index(3) == 0 ? Urgency::Urgent : Urgency::Ordinary, Now,
                  Now + milliseconds(50 + Rng.index(3000))};
  Call.Priority_ = static_cast<std::uint32_t>(Rng.index(3));
  if (Rng.index(4) != 0)
    Call.LatestTimelyStart_ =
        Now + milliseconds(Rng.index(900)) - milliseconds(100);
  return Call;
}

/// Offers, starts, removes and expires random calls, with more offered than can
/// be served, and returns the hash of the results.
std::uint64_t transcriptOf(std::uint64_t Seed, std::size_t MeanGapMicros) {
  Random Rng(Seed);
  Transcript Results;
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {4, 1});
  std::vector<Urgency> Running;
  Instant Now(seconds(100));
  for (std::uint64_t Id = 1; Id <= 20'000; ++Id) {
    Now += microseconds(Rng.index(2 * MeanGapMicros));
    const QueuedCall Call = randomCall(Rng, Id, Now);
    if (const auto Offered = Queue.offer(Call, Now); !Offered) {
      Results.add(static_cast<std::uint64_t>(Offered.error().Reason_));
      Results.add(
          static_cast<std::uint64_t>(Offered.error().RetryAfter_.count()));
    }
    if (Rng.index(20) == 0)
      Results.add(Queue.remove(CallId(Id - Rng.index(20))) ? 1 : 0);
    for (const CallId Expired : Queue.takeExpired(Now))
      Results.add(Expired.value());
    if (!Running.empty() && Rng.index(2) == 0) {
      Queue.recordEnded(
          ServiceId(0), Running.back(), routing::AttemptResult::Answered,
          milliseconds(5 + Rng.index(20)), routing::ServiceLoad::Unknown, Now);
      Running.pop_back();
    }
    while (const auto Next = Queue.next(ServiceId(0), Now)) {
      Results.add(Next->value());
      const auto Before = Queue.queueLength(ServiceId(0), Urgency::Urgent);
      Queue.recordStarted(*Next, Now);
      const auto After = Queue.queueLength(ServiceId(0), Urgency::Urgent);
      Running.push_back(Before > After ? Urgency::Urgent : Urgency::Ordinary);
    }
    Results.add(
        static_cast<std::uint64_t>(Queue.drainTime(ServiceId(0), Now).count()));
    Results.add(static_cast<std::uint64_t>(
        Queue.nextWakeUp().time_since_epoch().count()));
  }
  return Results.hash();
}

} // namespace

// Guards against any change of the order, the refusals or the retry times of a
// deployment without workspaces. The hashes are those of the code before
// workspaces were introduced (a72a97d). The second load fills the queue.
TEST_CASE("without workspaces calls start and are refused as before",
          "[admission]") {
  CHECK(transcriptOf(1, 4000) == 0x3b594eb4988af0dcU);
  CHECK(transcriptOf(2, 300) == 0xeeaa08faf1e7c1dbU);
  CHECK(transcriptOf(3, 12'000) == 0xb174dcfad0623140U);
}
