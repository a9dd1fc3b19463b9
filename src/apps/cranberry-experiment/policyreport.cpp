#include "policyreport.h"

#include <algorithm>
#include <iomanip>

namespace cranberryspool::experiment {

namespace {

constexpr double MaxToRandom = 0.5;
constexpr double MaxToOracle = 1.2;

const char *name(document::Urgency Urgency) {
  return Urgency == document::Urgency::Urgent ? "urgent" : "ordinary";
}

const PolicyResult *find(const std::vector<PolicyResult> &Results,
                         const std::string &Policy, const PolicyResult &Like) {
  const auto Found = std::find_if(
      Results.begin(), Results.end(), [&](const PolicyResult &Result) {
        return Result.Policy_ == Policy && Result.Service_ == Like.Service_ &&
               Result.Urgency_ == Like.Urgency_;
      });
  return Found == Results.end() ? nullptr : &*Found;
}

double ratio(framework::Duration Value, framework::Duration Base) {
  return Base.count() == 0 ? 0
                           : static_cast<double>(Value.count()) /
                                 static_cast<double>(Base.count());
}

double millis(framework::Duration Value) {
  return static_cast<double>(Value.count()) / 1000;
}

} // namespace

void printPolicyTable(const std::vector<PolicyResult> &Results,
                      std::ostream &Output) {
  Output << "service      urgency   policy         answered not-run  late    "
            "p50 ms "
            "   p99 ms  p99.9 ms  p99/random p99.9/random  p99/oracle "
            "p99.9/oracle\n";
  for (const PolicyResult &Result : Results) {
    const auto *Random = find(Results, "random", Result);
    const auto *Oracle = find(Results, "oracle", Result);
    Output << std::left << std::setw(13) << Result.Service_ << std::setw(10)
           << name(Result.Urgency_) << std::setw(14) << Result.Policy_
           << std::right << std::setw(9) << Result.Answered_ << std::setw(8)
           << Result.NotRun_ << std::setw(6) << Result.Late_ << std::fixed
           << std::setprecision(1) << std::setw(10) << millis(Result.P50_)
           << std::setw(10) << millis(Result.P99_) << std::setw(10)
           << millis(Result.P999_);
    if (Random && Oracle)
      Output << std::setprecision(2) << std::setw(12)
             << ratio(Result.P99_, Random->P99_) << std::setw(13)
             << ratio(Result.P999_, Random->P999_) << std::setw(12)
             << ratio(Result.P99_, Oracle->P99_) << std::setw(13)
             << ratio(Result.P999_, Oracle->P999_);
    Output << '\n';
  }
}

void printPolicyVerdict(const std::vector<PolicyResult> &Results,
                        const std::string &Policy, std::ostream &Output) {
  int Cells = 0;
  int Random99 = 0;
  int Random999 = 0;
  int Oracle99 = 0;
  int Oracle999 = 0;
  double Worst[4] = {};
  for (const PolicyResult &Result : Results) {
    const auto *Random = find(Results, "random", Result);
    const auto *Oracle = find(Results, "oracle", Result);
    if (Result.Policy_ != Policy || !Random || !Oracle)
      continue;
    const double Ratios[4] = {
        ratio(Result.P99_, Random->P99_), ratio(Result.P999_, Random->P999_),
        ratio(Result.P99_, Oracle->P99_), ratio(Result.P999_, Oracle->P999_)};
    for (int Index = 0; Index < 4; ++Index)
      Worst[Index] = std::max(Worst[Index], Ratios[Index]);
    ++Cells;
    Random99 += Ratios[0] <= MaxToRandom;
    Random999 += Ratios[1] <= MaxToRandom;
    Oracle99 += Ratios[2] <= MaxToOracle;
    Oracle999 += Ratios[3] <= MaxToOracle;
  }
  Output << std::fixed << std::setprecision(2) << "goal " << std::left
         << std::setw(14) << Policy << std::right
         << " p99<=0.5 random: " << Random99 << '/' << Cells << " (worst "
         << Worst[0] << ")  p99.9<=0.5 random: " << Random999 << '/' << Cells
         << " (worst " << Worst[1] << ")  p99<=1.2 oracle: " << Oracle99 << '/'
         << Cells << " (worst " << Worst[2]
         << ")  p99.9<=1.2 oracle: " << Oracle999 << '/' << Cells << " (worst "
         << Worst[3] << ")\n";
}

} // namespace cranberryspool::experiment
