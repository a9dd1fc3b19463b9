#ifndef CRANBERRYSPOOL_QUOTAS_TESTS_QUOTAFLEET_H
#define CRANBERRYSPOOL_QUOTAS_TESTS_QUOTAFLEET_H

#include "framework/random.h"
#include "quotas/quotacoordinator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace cranberryspool::quotas {

using framework::Duration;
using framework::Instant;

/// Coordinators of a fleet in virtual time, over links that lose and reorder
/// datagrams. Members are learned late and lost after 35 s, as by gossip.
class QuotaFleet {
public:
  struct Options {
    std::size_t Instances_ = 13;
    WorkspaceLimit Limit_{framework::WorkspaceName("w"), 100, 10};
    std::uint64_t Seed_ = 1;
    double Loss_ = 0.02;
    std::size_t Zones_ = 3;
    /// Runs until the instances know each other and their shares are full.
    bool IsWarm_ = true;
  };
  struct Arrival {
    Instant At_;
    bool IsAdmitted_ = false;
  };

  explicit QuotaFleet(Options Chosen);

  Instant now() const { return Now_; }
  std::size_t size() const { return Nodes_.size(); }
  QuotaCoordinator &at(std::size_t Node) { return *Nodes_[Node].Coordinator_; }
  std::size_t home() const;

  /// Sends calls at random intervals with this mean rate for a time; `Choose`
  /// returns the instance of a call, by default any that runs.
  void run(double PerSecond, Duration Time,
           const std::function<std::size_t()> &Choose = {});
  /// Sends one call at once. It is recorded when it is decided.
  void call(std::size_t Node);
  /// Gives back a credit of an admitted call.
  void giveBack(std::size_t Node);
  /// Lets time pass without calls.
  void pass(Duration Time);

  void kill(std::size_t Node);
  void leave(std::size_t Node);
  void start(std::size_t Node);
  std::size_t join();
  /// Lets all instances learn the members within the next 1.5 s.
  void refresh();
  void freeze(std::size_t Node, bool IsFrozen);
  /// Lets an instance send but not receive.
  void deafen(std::size_t Node) { Nodes_[Node].IsDeaf_ = true; }
  /// Divides the instances: those below `Count` and the others.
  void partition(std::size_t Count);
  void heal();
  void setLimit(WorkspaceLimit Limit);

  const std::vector<Arrival> &arrivals() const { return Arrivals_; }
  std::size_t admittedSince(Instant At) const;
  std::size_t arrivedSince(Instant At) const;
  /// Returns the most calls admitted in any 5 s that end after `Since`.
  std::size_t largestWindow(Instant Since = {}) const;
  double bound() const;
  /// Returns how many calls since `At` a single bucket would have admitted that
  /// had this rate and burst and all calls.
  std::size_t idealAdmittedSince(Instant At) const;
  Duration longestWait() const { return LongestWait_; }
  /// Returns how many calls were not decided at once.
  std::size_t waitCount() const { return WaitCount_; }
  std::uint64_t sentMessages() const { return SentMessages_; }
  std::uint64_t sentBy(std::size_t Node) const { return Nodes_[Node].Sent_; }
  QuotaCounters counters() const;

private:
  struct Node {
    std::unique_ptr<QuotaCoordinator> Coordinator_;
    std::uint64_t Incarnation_ = 0;
    bool IsAlive_ = false;
    /// True once it knows its peers.
    bool IsReady_ = false;
    bool IsFrozen_ = false;
    bool HasLeft_ = false;
    bool IsDeaf_ = false;
    int Side_ = 0;
    Instant StartedAt_{};
    Instant GoneAt_{};
    std::optional<Instant> TickAt_;
    std::uint64_t Sent_ = 0;
    std::vector<std::function<void()>> Held_;
  };
  struct Event {
    Instant At_;
    std::uint64_t Order_;
    std::function<void()> Action_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  void schedule(Instant At, std::function<void()> Action);
  void runUntil(Instant End);
  void collect(std::size_t Node);
  void deliver(std::size_t From, const QuotaMessage &Message);
  void record(std::size_t Index, bool IsAdmitted);
  void refreshMembers(std::size_t Node);
  void refreshAllLater(Duration Delay);
  bool isConnected(std::size_t From, std::size_t To) const;
  std::size_t anyNode();

  Options Options_;
  framework::Random Rng_;
  Instant Now_{std::chrono::hours(1)};
  std::vector<Node> Nodes_;
  std::map<std::string, std::size_t> ByAddress_;
  std::priority_queue<Event> Events_;
  std::uint64_t NextOrder_ = 0;
  std::optional<Instant> CutAt_;
  std::vector<Arrival> Arrivals_;
  Duration LongestWait_{};
  std::size_t WaitCount_ = 0;
  std::uint64_t SentMessages_ = 0;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_TESTS_QUOTAFLEET_H
