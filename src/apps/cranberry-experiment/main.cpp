#include "decision/experiment/coreexperiment.h"
#include "policyreport.h"
#include "routing/experiment/policyexperiment.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

DEFINE_string(deployment, "lagos,central-belt",
              "deployments to run: lagos, central-belt, or both");
DEFINE_string(load, "40,70,90", "offered loads in percent of all slots");
DEFINE_uint64(seeds, 5, "number of seeds, from 1");
DEFINE_string(policies, "", "policies to run; all when empty");
DEFINE_uint64(seconds, 20, "simulated duration of each run in seconds");
DEFINE_uint64(jobs, 4, "number of concurrent runs");
DEFINE_double(constant_share, 0.5,
              "fraction of the mean work that is constant for all requests");
DEFINE_double(work_scale, 1, "factor applied to the mean work of each service");
DEFINE_string(documents, "examples",
              "directory of the deployments' environment documents");
DEFINE_bool(table, true, "print the table of each run");

namespace {

using namespace cranberryspool;
using namespace cranberryspool::experiment;

std::vector<std::string> splitAtCommas(const std::string &List) {
  std::vector<std::string> Items;
  std::istringstream Input(List);
  for (std::string Item; std::getline(Input, Item, ',');)
    Items.push_back(Item);
  return Items;
}

std::string readDocument(const Deployment &Scenario) {
  std::ifstream Input(FLAGS_documents + "/" + Scenario.Name_ + ".json");
  if (!Input) {
    std::cerr << "no environment document for " << Scenario.Name_ << " in "
              << FLAGS_documents << '\n';
    std::exit(EXIT_FAILURE);
  }
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

std::vector<PolicyResult>
runSinglePolicy(const std::string &Policy, const Deployment &Scenario,
                const PolicyExperimentSettings &Settings) {
  if (Policy != "core")
    return runPolicy(Policy, Scenario, Settings);
  CoreTotals Totals;
  auto Results = runCores(Scenario, Settings, readDocument(Scenario), Totals);
  std::ostringstream Line;
  Line << "core: attempts " << Totals.AttemptsSent_ << ", hedges "
       << Totals.HedgesSent_ << " (won " << Totals.HedgesWon_ << "), retries "
       << Totals.RetriesSent_ << ", probes " << Totals.ProbesSent_ << '\n';
  std::cout << Line.str();
  return Results;
}

/// Runs all policies with one seed, up to `--jobs` of them concurrently.
std::vector<PolicyResult>
runAllPolicies(const std::vector<std::string> &Policies,
               const Deployment &Scenario,
               const PolicyExperimentSettings &Settings) {
  std::vector<PolicyResult> Results;
  for (std::size_t First = 0; First < Policies.size(); First += FLAGS_jobs) {
    std::vector<std::future<std::vector<PolicyResult>>> PendingRuns;
    for (std::size_t Index = First;
         Index < std::min<std::size_t>(Policies.size(), First + FLAGS_jobs);
         ++Index)
      PendingRuns.push_back(std::async(std::launch::async, [&, Index] {
        return runSinglePolicy(Policies[Index], Scenario, Settings);
      }));
    for (auto &Run : PendingRuns)
      for (PolicyResult &Result : Run.get())
        Results.push_back(std::move(Result));
  }
  return Results;
}

void runDeployment(const Deployment &Scenario,
                   const std::vector<std::string> &Policies) {
  for (const std::string &Load : splitAtCommas(FLAGS_load))
    for (std::uint64_t Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
      PolicyExperimentSettings Settings;
      Settings.Seed_ = Seed;
      WorkloadSettings &Workload = Settings.Offered_;
      Workload.Load_ = std::strtod(Load.c_str(), nullptr) / 100;
      Workload.Length_ = std::chrono::seconds(FLAGS_seconds);
      Workload.ConstantShareOfWork_ = FLAGS_constant_share;
      Workload.WorkScale_ = FLAGS_work_scale;
      const auto Results = runAllPolicies(Policies, Scenario, Settings);
      std::cout << "== " << Scenario.Name_ << ", load " << Load << " %, seed "
                << Seed << '\n';
      if (FLAGS_table)
        printPolicyTable(Results, std::cout);
      for (const std::string &Policy : Policies)
        printPolicyGoals(Results, Policy, std::cout);
      std::cout << std::flush;
    }
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("cranberry-experiment policy [flags]: compares "
                          "target selection policies in simulated time");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (Argc != 2 || std::string(Argv[1]) != "policy") {
    std::cerr << gflags::ProgramUsage() << '\n';
    return EXIT_FAILURE;
  }
  auto Policies = policyNames();
  Policies.insert(Policies.begin(), "core");
  const auto KnownPolicies = Policies;
  if (!FLAGS_policies.empty())
    Policies = splitAtCommas(FLAGS_policies);
  for (const std::string &Name : Policies)
    if (std::find(KnownPolicies.begin(), KnownPolicies.end(), Name) ==
        KnownPolicies.end()) {
      std::cerr << "unknown policy: " << Name << '\n';
      return EXIT_FAILURE;
    }
  for (const std::string &Name : splitAtCommas(FLAGS_deployment)) {
    if (Name != "lagos" && Name != "central-belt") {
      std::cerr << "unknown deployment: " << Name << '\n';
      return EXIT_FAILURE;
    }
    runDeployment(Name == "lagos" ? lagos() : centralBelt(), Policies);
  }
  return EXIT_SUCCESS;
}
