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
DEFINE_uint64(seconds, 20, "virtual length of each run in seconds");
DEFINE_uint64(jobs, 4, "runs at the same time");
DEFINE_double(constant_share, 0.5,
              "part of the mean work that is the same for all requests");
DEFINE_double(work_scale, 1, "multiplies the mean work of each service");
DEFINE_string(documents, "examples",
              "folder of the deployments' environment documents");
DEFINE_bool(table, true, "print the table of each run");

namespace {

using namespace cranberryspool;
using namespace cranberryspool::experiment;

std::vector<std::string> split(const std::string &List) {
  std::vector<std::string> Parts;
  std::istringstream Input(List);
  for (std::string Part; std::getline(Input, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

std::string readDocument(const Deployment &Fleet) {
  std::ifstream Input(FLAGS_documents + "/" + Fleet.Name_ + ".json");
  if (!Input) {
    std::cerr << "no document of " << Fleet.Name_ << " in " << FLAGS_documents
              << '\n';
    std::exit(EXIT_FAILURE);
  }
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

std::vector<PolicyResult> runOne(const std::string &Policy,
                                 const Deployment &Fleet,
                                 const PolicyExperimentSettings &Settings) {
  if (Policy != "core")
    return runPolicy(Policy, Fleet, Settings);
  CoreTotals Totals;
  auto Results = runCores(Fleet, Settings, readDocument(Fleet), Totals);
  std::ostringstream Line;
  Line << "core: attempts " << Totals.AttemptsSent_ << ", hedges "
       << Totals.HedgesSent_ << " (won " << Totals.HedgesWon_ << "), retries "
       << Totals.RetriesSent_ << ", probes " << Totals.ProbesSent_ << '\n';
  std::cout << Line.str();
  return Results;
}

/// Runs all policies over one seed, several at the same time.
std::vector<PolicyResult> runAll(const std::vector<std::string> &Policies,
                                 const Deployment &Fleet,
                                 const PolicyExperimentSettings &Settings) {
  std::vector<PolicyResult> Results;
  for (std::size_t First = 0; First < Policies.size(); First += FLAGS_jobs) {
    std::vector<std::future<std::vector<PolicyResult>>> Running;
    for (std::size_t Index = First;
         Index < std::min<std::size_t>(Policies.size(), First + FLAGS_jobs);
         ++Index)
      Running.push_back(std::async(std::launch::async, [&, Index] {
        return runOne(Policies[Index], Fleet, Settings);
      }));
    for (auto &Run : Running)
      for (PolicyResult &Result : Run.get())
        Results.push_back(std::move(Result));
  }
  return Results;
}

void runDeployment(const Deployment &Fleet,
                   const std::vector<std::string> &Policies) {
  for (const std::string &Load : split(FLAGS_load))
    for (std::uint64_t Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
      PolicyExperimentSettings Settings;
      Settings.Seed_ = Seed;
      WorkloadSettings &Offered = Settings.Offered_;
      Offered.Load_ = std::strtod(Load.c_str(), nullptr) / 100;
      Offered.Length_ = std::chrono::seconds(FLAGS_seconds);
      Offered.ConstantShareOfWork_ = FLAGS_constant_share;
      Offered.WorkScale_ = FLAGS_work_scale;
      const auto Results = runAll(Policies, Fleet, Settings);
      std::cout << "== " << Fleet.Name_ << ", load " << Load << " %, seed "
                << Seed << '\n';
      if (FLAGS_table)
        printPolicyTable(Results, std::cout);
      for (const std::string &Policy : Policies)
        printPolicyVerdict(Results, Policy, std::cout);
      std::cout << std::flush;
    }
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("cranberry-experiment policy [flags]: compares the "
                          "policies of target choice in virtual time");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (Argc != 2 || std::string(Argv[1]) != "policy") {
    std::cerr << gflags::ProgramUsage() << '\n';
    return EXIT_FAILURE;
  }
  auto Policies = policyNames();
  Policies.insert(Policies.begin(), "core");
  const auto Known = Policies;
  if (!FLAGS_policies.empty())
    Policies = split(FLAGS_policies);
  for (const std::string &Name : Policies)
    if (std::find(Known.begin(), Known.end(), Name) == Known.end()) {
      std::cerr << "unknown policy: " << Name << '\n';
      return EXIT_FAILURE;
    }
  for (const std::string &Name : split(FLAGS_deployment)) {
    if (Name != "lagos" && Name != "central-belt") {
      std::cerr << "unknown deployment: " << Name << '\n';
      return EXIT_FAILURE;
    }
    runDeployment(Name == "lagos" ? lagos() : centralBelt(), Policies);
  }
  return EXIT_SUCCESS;
}
