#include "loaddriver.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace cranberryspool;
using namespace cranberryspool::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Seeds = 3;

/// Three kinds that load 12 slots of 20 ms to two thirds; capacity 600 calls a
/// second.
std::vector<KindLoad> mixedKinds(double Burst) {
  return {{"urgent", 0, milliseconds(200), milliseconds(1000), milliseconds(20),
           100, Burst},
          {"middle", 1, milliseconds(500), milliseconds(2000), milliseconds(20),
           150, Burst},
          {"low", 2, milliseconds(1500), milliseconds(5000), milliseconds(20),
           150, Burst}};
}

std::vector<LoadCase> loadCases() {
  std::vector<LoadCase> Cases;
  // Seven tenths of the slots run 50 calls a second, the others 7: 445
  // together.
  Cases.push_back({"burst of 2.5 of one kind",
                   {{"urgent", 0, milliseconds(200), milliseconds(1000),
                     milliseconds(20), 120, 1},
                    {"once", 1, milliseconds(1500), milliseconds(5000),
                     milliseconds(20), 180, 2.5}},
                   6,
                   0.3,
                   7,
                   true});
  Cases.push_back({"same priority, burst of 4 of one kind",
                   {{"steady", 1, milliseconds(500), milliseconds(2000),
                     milliseconds(20), 200, 1},
                    {"bursting", 1, milliseconds(1500), milliseconds(5000),
                     milliseconds(20), 200, 4}}});
  Cases.push_back({"burst of 2", mixedKinds(2)});
  Cases.push_back({"burst of 3", mixedKinds(3)});
  Cases.push_back(
      {"half of the targets 6 times slower", mixedKinds(1), 6, 0.5, 6});
  Cases.push_back({"long beside short work, burst of 2.5",
                   {{"short", 1, milliseconds(200), milliseconds(1000),
                     milliseconds(10), 300, 2.5},
                    {"long", 1, milliseconds(1500), milliseconds(5000),
                     milliseconds(200), 20, 2.5}}});
  Cases.push_back({"10 times the capacity", mixedKinds(15)});
  LoadCase Retries{"burst of 3, two retries", mixedKinds(3)};
  Retries.Retries_ = 2;
  Cases.push_back(Retries);
  return Cases;
}

struct NamedPolicy {
  const char *Name_;
  std::function<std::unique_ptr<CallPolicy>(std::uint32_t)> Make_;
};

template <typename Policy> NamedPolicy listed(const char *Name) {
  return {Name,
          [](std::uint32_t Slots) { return std::make_unique<Policy>(Slots); }};
}

NamedPolicy queued(const char *Name, LoadSheddingMode Mode) {
  return {Name, [Mode](std::uint32_t Slots) {
            return std::make_unique<QueuePolicy>(Mode, Slots);
          }};
}

std::vector<NamedPolicy> policies() {
  return {queued("off (order of before)", LoadSheddingMode::Off),
          queued("shared-services", LoadSheddingMode::SharedServices),
          listed<EarliestDeadline>("earliest deadline first"),
          listed<AdaptiveLifo>("adaptive LIFO"),
          listed<CoDel>("CoDel"),
          listed<MinimumSlack>("minimum slack"),
          listed<MooreHodgson>("Moore-Hodgson"),
          listed<ShortestWork>("weighted shortest work"),
          listed<PriorityLevel>("priority level")};
}

LoadResult measure(const LoadCase &Case, const NamedPolicy &Policy) {
  LoadResult Sum;
  Sum.Kinds_.resize(Case.Kinds_.size());
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const auto Made =
        Policy.Make_(static_cast<std::uint32_t>(2 * Case.Targets_));
    const LoadResult Result = LoadDriver(Case, *Made, Seed).run();
    Sum.Cost_ += Result.Cost_ / Seeds;
    for (std::size_t Kind = 0; Kind < Sum.Kinds_.size(); ++Kind) {
      Sum.Kinds_[Kind].Sent_ += Result.Kinds_[Kind].Sent_;
      Sum.Kinds_[Kind].InTime_ += Result.Kinds_[Kind].InTime_;
      Sum.Kinds_[Kind].Late_ += Result.Kinds_[Kind].Late_;
      Sum.Kinds_[Kind].RefusalSeconds_ += Result.Kinds_[Kind].RefusalSeconds_;
    }
  }
  return Sum;
}

} // namespace

// Prints the table of docs/design/load-shedding.md.
TEST_CASE("table of the policies", "[.table]") {
  for (const LoadCase &Case : loadCases()) {
    std::printf("\n%s\n", Case.Name_.c_str());
    for (const NamedPolicy &Policy : policies()) {
      const LoadResult Result = measure(Case, Policy);
      std::printf("| %s | %.3f |", Policy.Name_, Result.Cost_);
      for (const KindResult &Kind : Result.Kinds_)
        std::printf(" %.2f + %.2f |", Kind.inTime(),
                    Kind.served() - Kind.inTime());
      std::printf("\n");
    }
  }
}

// Guards against a shared service on which a shortage costs callers clearly
// more than with the order of before, a lower priority is served better than a
// higher one, or a kind starves. The order of before lets the lowest priority
// starve; what that saves callers of others is the difference allowed.
TEST_CASE("calls are shed by what that costs callers", "[scheduling]") {
  for (const LoadCase &Case : loadCases()) {
    CAPTURE(Case.Name_);
    const LoadResult Before = measure(Case, policies()[0]);
    const LoadResult Shared = measure(Case, policies()[1]);
    CHECK(Shared.Cost_ <= Before.Cost_ + 0.03);
    double Sent = 0;
    double Served = 0;
    for (const KindResult &Kind : Shared.Kinds_) {
      Sent += Kind.Sent_;
      Served += Kind.served() * Kind.Sent_;
    }
    for (std::size_t Kind = 0; Kind < Shared.Kinds_.size(); ++Kind) {
      CAPTURE(Case.Kinds_[Kind].Name_);
      CHECK(Shared.Kinds_[Kind].served() >= Served / Sent / 4);
      for (std::size_t Other = 0; Other < Kind; ++Other)
        if (Case.Kinds_[Other].Priority_ < Case.Kinds_[Kind].Priority_)
          CHECK(Shared.Kinds_[Other].served() + 0.01 >=
                Shared.Kinds_[Kind].served());
    }
  }
}
