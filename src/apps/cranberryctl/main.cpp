// The operators' command line: reads flags, picks a command, returns its code.

#include "apps/cranberryctl/usage.h"
#include "framework/units.h"
#include "operations/burncommand.h"
#include "operations/checkcommand.h"
#include "operations/diffcommand.h"
#include "operations/explaincommand.h"
#include "operations/statuscommand.h"
#include "operations/types/console.h"
#include "trial/trycommand.h"

#include <gflags/gflags.h>

#include <chrono>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

DEFINE_bool(json, false, "write JSON");
DEFINE_string(timeout, "2s", "how long status and burn wait for an instance");
DEFINE_string(file, "", "files with saved statuses, separated by commas");
DEFINE_string(document, "", "the document whose objectives burn takes");
DEFINE_uint32(network, 80, "127.N.x.y are the addresses of try");
DEFINE_string(svg, "", "the file into which burn draws the burn rates");

namespace {

using namespace cranberryspool;
using operations::ExitCode;

using Arguments = std::vector<std::string>;

bool isHelpAsked() {
  std::string Value;
  return gflags::GetCommandLineOption("help", &Value) && Value == "true";
}

ExitCode refuseUsage(const std::string &Reason) {
  std::cerr << "cranberryctl: " << Reason << "; see cranberryctl --help\n";
  return ExitCode::UsageError;
}

Arguments splitAtCommas(const std::string &Text) {
  Arguments Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

ExitCode runBurn(const Arguments &Addresses, framework::Duration Timeout,
                 const operations::Console &Streams) {
  const operations::BurnOptions Options{Addresses, splitAtCommas(FLAGS_file),
                                        FLAGS_document, FLAGS_svg, Timeout};
  if (Options.Addresses_.empty() && Options.Files_.empty())
    return refuseUsage("burn needs addresses or --file");
  const auto Now = std::chrono::time_point_cast<framework::Duration>(
      std::chrono::system_clock::now());
  return operations::burnCommand(Options, Now, Streams);
}

ExitCode runRemote(const std::string &Command, const Arguments &Addresses,
                   const operations::Console &Streams) {
  const auto Timeout = framework::parseDuration(FLAGS_timeout);
  if (!Timeout || *Timeout == framework::Duration::zero())
    return refuseUsage("--timeout needs a time such as 2s");
  if (Command == "burn")
    return runBurn(Addresses, *Timeout, Streams);
  if (Addresses.empty())
    return refuseUsage("status needs addresses");
  return operations::statusCommand(Addresses, *Timeout, Streams);
}

ExitCode runTry(const Arguments &Rest, const operations::Console &Streams) {
  constexpr gflags::uint32 MaxNetwork = 255;
  if (Rest.size() != 1)
    return refuseUsage("try needs one document");
  if (FLAGS_network > MaxNetwork)
    return refuseUsage("--network needs a number up to 255");
  trial::TrialSettings Settings;
  Settings.Network_ = static_cast<std::uint8_t>(FLAGS_network);
  return trial::tryCommand(Rest[0], Settings, Streams);
}

ExitCode run(const std::string &Command, const Arguments &Rest,
             const operations::Console &Streams) {
  if (Command == "check") {
    if (Rest.size() != 1)
      return refuseUsage("check needs one document");
    return operations::checkCommand(Rest[0], Streams);
  }
  if (Command == "diff") {
    if (Rest.size() != 2)
      return refuseUsage("diff needs two documents");
    return operations::diffCommand(Rest[0], Rest[1], Streams);
  }
  if (Command == "explain") {
    if (Rest.size() < 2)
      return refuseUsage("explain needs the id of a request and log files");
    return operations::explainCommand(Rest[0], {Rest.begin() + 1, Rest.end()},
                                      Streams);
  }
  if (Command == "try")
    return runTry(Rest, Streams);
  if (Command == "status" || Command == "burn")
    return runRemote(Command, Rest, Streams);
  return refuseUsage("unknown command " + Command);
}

} // namespace

int main(int Count, char **Values) {
  gflags::SetUsageMessage(UsageText);
  gflags::ParseCommandLineNonHelpFlags(&Count, &Values, true);
  if (isHelpAsked()) {
    std::cout << UsageText;
    return static_cast<int>(ExitCode::Success);
  }
  if (Count < 2)
    return static_cast<int>(refuseUsage("no command"));
  const operations::Console Streams{std::cout, std::cerr,
                                    FLAGS_json
                                        ? operations::OutputFormat::Json
                                        : operations::OutputFormat::Text};
  const Arguments Rest(Values + 2, Values + Count);
  return static_cast<int>(run(Values[1], Rest, Streams));
}
