#include "policyreport.h"

#include <algorithm>
#include <iomanip>

namespace cranberryspool::experiment {

namespace {

constexpr double MaxRatioToRandom = 0.5;
constexpr double MaxRatioToOracle = 1.2;

const char *urgencyName(document::Urgency Urgency) {
  return Urgency == document::Urgency::Urgent ? "urgent" : "ordinary";
}

const PolicyResult *findResult(const std::vector<PolicyResult> &Results,
                               const std::string &Policy,
                               const PolicyResult &Reference) {
  const auto Found = std::find_if(
      Results.begin(), Results.end(), [&](const PolicyResult &Result) {
        return Result.Policy_ == Policy &&
               Result.Service_ == Reference.Service_ &&
               Result.Urgency_ == Reference.Urgency_;
      });
  return Found == Results.end() ? nullptr : &*Found;
}

double ratio(framework::Duration Value, framework::Duration Base) {
  return Base.count() == 0 ? 0
                           : static_cast<double>(Value.count()) /
                                 static_cast<double>(Base.count());
}

double toMilliseconds(framework::Duration Value) {
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
    const auto *Random = findResult(Results, "random", Result);
    const auto *Oracle = findResult(Results, "oracle", Result);
    Output << std::left << std::setw(13) << Result.Service_ << std::setw(10)
           << urgencyName(Result.Urgency_) << std::setw(14) << Result.Policy_
           << std::right << std::setw(9) << Result.Answered_ << std::setw(8)
           << Result.NotRun_ << std::setw(6) << Result.Late_ << std::fixed
           << std::setprecision(1) << std::setw(10)
           << toMilliseconds(Result.P50_) << std::setw(10)
           << toMilliseconds(Result.P99_) << std::setw(10)
           << toMilliseconds(Result.P999_);
    if (Random && Oracle)
      Output << std::setprecision(2) << std::setw(12)
             << ratio(Result.P99_, Random->P99_) << std::setw(13)
             << ratio(Result.P999_, Random->P999_) << std::setw(12)
             << ratio(Result.P99_, Oracle->P99_) << std::setw(13)
             << ratio(Result.P999_, Oracle->P999_);
    Output << '\n';
  }
}

void printPolicyGoals(const std::vector<PolicyResult> &Results,
                      const std::string &Policy, std::ostream &Output) {
  int ResultCount = 0;
  int RandomP99Met = 0;
  int RandomP999Met = 0;
  int OracleP99Met = 0;
  int OracleP999Met = 0;
  double MaxRatios[4] = {};
  for (const PolicyResult &Result : Results) {
    const auto *Random = findResult(Results, "random", Result);
    const auto *Oracle = findResult(Results, "oracle", Result);
    if (Result.Policy_ != Policy || !Random || !Oracle)
      continue;
    const double Ratios[4] = {
        ratio(Result.P99_, Random->P99_), ratio(Result.P999_, Random->P999_),
        ratio(Result.P99_, Oracle->P99_), ratio(Result.P999_, Oracle->P999_)};
    for (int Index = 0; Index < 4; ++Index)
      MaxRatios[Index] = std::max(MaxRatios[Index], Ratios[Index]);
    ++ResultCount;
    RandomP99Met += Ratios[0] <= MaxRatioToRandom;
    RandomP999Met += Ratios[1] <= MaxRatioToRandom;
    OracleP99Met += Ratios[2] <= MaxRatioToOracle;
    OracleP999Met += Ratios[3] <= MaxRatioToOracle;
  }
  Output << std::fixed << std::setprecision(2) << "goal " << std::left
         << std::setw(14) << Policy << std::right
         << " p99<=0.5 random: " << RandomP99Met << '/' << ResultCount
         << " (worst " << MaxRatios[0]
         << ")  p99.9<=0.5 random: " << RandomP999Met << '/' << ResultCount
         << " (worst " << MaxRatios[1] << ")  p99<=1.2 oracle: " << OracleP99Met
         << '/' << ResultCount << " (worst " << MaxRatios[2]
         << ")  p99.9<=1.2 oracle: " << OracleP999Met << '/' << ResultCount
         << " (worst " << MaxRatios[3] << ")\n";
}

} // namespace cranberryspool::experiment
