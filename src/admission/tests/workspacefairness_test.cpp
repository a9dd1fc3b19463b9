#include "admission/admissionqueue.h"
#include "framework/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <queue>

using namespace cranberryspool;
using namespace cranberryspool::admission;
using namespace cranberryspool::framework;
using document::Urgency;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Workspaces = 83;
/// The service can run 300 calls a second.
constexpr std::size_t Slots = 6;
constexpr Duration RunTime = milliseconds(20);
constexpr Duration Objective = milliseconds(300);
constexpr Duration Timeout = milliseconds(1500);

/// A load in calls a second. The flooding workspace sends ten times its usual
/// load after `FloodStart`, when the counting begins.
struct Load {
  double UsualPerSecond_ = 300;
  /// The share of the usual load that the flooding workspace has.
  double FloodingShare_ = 1.0 / Workspaces;
  Duration FloodStart_ = seconds(120);
  bool AreWorkspacesKnown_ = true;
};

struct Share {
  double Sent_ = 0;
  double Served_ = 0;
  double ratio() const { return Served_ / Sent_; }
};

struct Outcome {
  Share Flooding_;
  Share Others_;
  Share All_;
  double LowestOfOthers_ = 1;
};

/// One service with a number of slots in virtual time.
class Driver {
public:
  explicit Driver(const Load &Offered) : Load_(Offered) {
    Queue_.setCapacity(ServiceId(0), {Slots, 1});
  }

  Outcome run(Duration FloodLength) {
    const Instant End = Start_ + Load_.FloodStart_ + FloodLength;
    while (Now_ < End) {
      const Duration Gap(
          static_cast<std::int64_t>(Rng_.exponential(1e6 / ratePerSecond())));
      const Instant Next = Now_ + Gap;
      endCallsUntil(Next);
      Now_ = Next;
      offerCall();
    }
    return outcome();
  }

private:
  bool isFlooding() const { return Now_ >= Start_ + Load_.FloodStart_; }
  double floodingRate() const {
    return Load_.UsualPerSecond_ * Load_.FloodingShare_ *
           (isFlooding() ? 10 : 1);
  }
  double ratePerSecond() const {
    return Load_.UsualPerSecond_ * (1 - Load_.FloodingShare_) + floodingRate();
  }

  void offerCall() {
    std::uint32_t Workspace = 0;
    if (Rng_.fraction() * ratePerSecond() >= floodingRate())
      Workspace = 1 + static_cast<std::uint32_t>(Rng_.index(Workspaces - 1));
    QueuedCall Call{CallId(++LastId_), ServiceId(0), Urgency::Ordinary, Now_,
                    Now_ + Timeout};
    Call.LatestTimelyStart_ = Now_ + Objective - RunTime;
    if (Load_.AreWorkspacesKnown_)
      Call.Workspace_ = WorkspaceId(Workspace);
    SentBy_[Call.Call_] = Workspace;
    if (isFlooding())
      ++Shares_[Workspace].Sent_;
    const auto Offered = Queue_.offer(Call, Now_);
    startCalls();
    (void)Offered;
  }

  void startCalls() {
    Queue_.takeExpired(Now_);
    while (Running_.size() < Slots) {
      const auto Next = Queue_.next(ServiceId(0), Now_);
      if (!Next)
        return;
      Queue_.recordStarted(*Next, Now_);
      if (isFlooding())
        ++Shares_[SentBy_[*Next]].Served_;
      Running_.push(Now_ + RunTime);
    }
  }

  void endCallsUntil(Instant Until) {
    while (!Running_.empty() && Running_.top() <= Until) {
      Now_ = Running_.top();
      Running_.pop();
      Queue_.recordEnded(ServiceId(0), Urgency::Ordinary,
                         routing::AttemptResult::Answered, RunTime,
                         routing::ServiceLoad::Unknown, Now_);
      startCalls();
    }
  }

  Outcome outcome() const {
    Outcome Result;
    for (const auto &[Workspace, Served] : Shares_) {
      Share &Group = Workspace == 0 ? Result.Flooding_ : Result.Others_;
      for (Share *Sum : {&Group, &Result.All_}) {
        Sum->Sent_ += Served.Sent_;
        Sum->Served_ += Served.Served_;
      }
      if (Workspace != 0)
        Result.LowestOfOthers_ =
            std::min(Result.LowestOfOthers_, Served.ratio());
    }
    return Result;
  }

  const Load Load_;
  AdmissionQueue Queue_;
  Random Rng_{7};
  const Instant Start_{seconds(100)};
  Instant Now_ = Start_;
  std::uint64_t LastId_ = 0;
  std::map<CallId, std::uint32_t> SentBy_;
  std::map<std::uint32_t, Share> Shares_;
  std::priority_queue<Instant, std::vector<Instant>, std::greater<>> Running_;
};

Outcome measure(const Load &Offered) {
  const Outcome Result = Driver(Offered).run(seconds(60));
  UNSCOPED_INFO("served: flooding " << Result.Flooding_.ratio() << ", others "
                                    << Result.Others_.ratio() << ", lowest "
                                    << Result.LowestOfOthers_ << ", all "
                                    << Result.All_.ratio());
  return Result;
}

QueuedCall callOf(std::uint64_t Id, std::uint32_t Workspace, Instant Now) {
  QueuedCall Call{CallId(Id), ServiceId(0), Urgency::Ordinary, Now,
                  Now + seconds(60)};
  Call.Workspace_ = WorkspaceId(Workspace);
  return Call;
}

} // namespace

// Guards against a workspace whose burst displaces the calls of others, and
// against the starvation of any workspace, also of the flooding one.
TEST_CASE("a workspace at ten times its usual load waits behind 82 others",
          "[admission]") {
  // Capacity of 1.0 and 0.5 of the usual load, for a workspace with an 83rd
  // and one with a third of it, with the flood from the start and later.
  const double Usual = GENERATE(300.0, 600.0);
  const double FloodingShare = GENERATE(1.0 / Workspaces, 1.0 / 3);
  const Duration FloodStart = GENERATE(Duration(), Duration(seconds(400)));
  Load Offered{Usual, FloodingShare, FloodStart};
  CAPTURE(Usual, FloodingShare, FloodStart.count());
  const Outcome Fair = measure(Offered);
  CHECK(Fair.Flooding_.ratio() >= Fair.All_.ratio() / 4);
  CHECK(Fair.LowestOfOthers_ >= Fair.All_.ratio() / 4);
  CHECK(Fair.Others_.ratio() > 1.5 * Fair.Flooding_.ratio());
  Offered.AreWorkspacesKnown_ = false;
  const Outcome Unaware = measure(Offered);
  CHECK(Fair.Others_.ratio() > Unaware.Others_.ratio());
  // The same work is done.
  CHECK(Fair.All_.ratio() >= 0.98 * Unaware.All_.ratio());
}

// Guards against a full queue that refuses a workspace because of another.
TEST_CASE("a full queue sheds a call of the workspace furthest over its share",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {1, 1});
  const Instant Now(seconds(100));
  std::uint64_t Id = 0;
  for (std::uint32_t Workspace = 1; Workspace <= 50; ++Workspace)
    REQUIRE(Queue.offer(callOf(++Id, Workspace, Now), Now));
  while (Queue.offer(callOf(Id + 1, 0, Now), Now))
    ++Id;
  CHECK(Queue.takeExpired(Now).empty());
  CHECK(Queue.queueLength(ServiceId(0), Urgency::Ordinary) == 512);
  REQUIRE(Queue.offer(callOf(1000, 7, Now), Now));
  CHECK(Queue.takeExpired(Now) == std::vector<CallId>{CallId(Id)});
  CHECK(Queue.queueLength(ServiceId(0), Urgency::Ordinary) == 512);
}

// Guards against a priority that is lost to the turns of the workspaces.
TEST_CASE("turns of workspaces do not change the order of priorities",
          "[admission]") {
  AdmissionQueue Queue;
  Queue.setCapacity(ServiceId(0), {100, 1});
  const Instant Now(seconds(100));
  for (std::uint64_t Id = 1; Id <= 40; ++Id) {
    QueuedCall Call = callOf(Id, Id % 2 == 0 ? 0 : 1, Now);
    Call.Priority_ = Id % 2 == 0 ? 1 : 2;
    REQUIRE(Queue.offer(Call, Now));
  }
  for (int Start = 0; Start < 20; ++Start) {
    const auto Next = Queue.next(ServiceId(0), Now);
    REQUIRE(Next);
    CHECK(Next->value() % 2 == 0);
    Queue.recordStarted(*Next, Now);
  }
}
