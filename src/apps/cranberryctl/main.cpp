// The command-line tool for operators: parses the flags, runs the command and
// returns its exit code.

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
DEFINE_string(file, "", "saved status files, separated by commas");
DEFINE_string(document, "", "document with the objectives for burn");
DEFINE_uint32(network, 80, "try uses the addresses 127.N.x.y");
DEFINE_string(svg, "", "file to which burn writes a chart of the burn rates");

namespace {

using namespace cranberryspool;
using operations::ExitCode;

using Arguments = std::vector<std::string>;

bool isHelpRequested() {
  std::string Value;
  return gflags::GetCommandLineOption("help", &Value) && Value == "true";
}

ExitCode reportUsageError(const std::string &Reason) {
  std::cerr << "cranberryctl: " << Reason << "; see cranberryctl --help\n";
  return ExitCode::UsageError;
}

Arguments splitAtCommas(const std::string &Text) {
  Arguments Items;
  std::istringstream Stream(Text);
  for (std::string Item; std::getline(Stream, Item, ',');)
    Items.push_back(Item);
  return Items;
}

ExitCode runBurn(const Arguments &Addresses, framework::Duration Timeout,
                 const operations::Console &Output) {
  const operations::BurnOptions Options{Addresses, splitAtCommas(FLAGS_file),
                                        FLAGS_document, FLAGS_svg, Timeout};
  if (Options.Addresses_.empty() && Options.Files_.empty())
    return reportUsageError("burn needs addresses or --file");
  const auto Now = std::chrono::time_point_cast<framework::Duration>(
      std::chrono::system_clock::now());
  return operations::burnCommand(Options, Now, Output);
}

ExitCode runStatusOrBurn(const std::string &Command, const Arguments &Addresses,
                         const operations::Console &Output) {
  const auto Timeout = framework::parseDuration(FLAGS_timeout);
  if (!Timeout || *Timeout == framework::Duration::zero())
    return reportUsageError("--timeout needs a positive duration such as 2s");
  if (Command == "burn")
    return runBurn(Addresses, *Timeout, Output);
  if (Addresses.empty())
    return reportUsageError("status needs addresses");
  return operations::statusCommand(Addresses, *Timeout, Output);
}

ExitCode runTry(const Arguments &Rest, const operations::Console &Output) {
  constexpr gflags::uint32 MaxNetwork = 255;
  if (Rest.size() != 1)
    return reportUsageError("try needs one document");
  if (FLAGS_network > MaxNetwork)
    return reportUsageError("--network needs a number up to 255");
  trial::TrialSettings Settings;
  Settings.Network_ = static_cast<std::uint8_t>(FLAGS_network);
  return trial::tryCommand(Rest[0], Settings, Output);
}

ExitCode run(const std::string &Command, const Arguments &Rest,
             const operations::Console &Output) {
  if (Command == "check") {
    if (Rest.size() != 1)
      return reportUsageError("check needs one document");
    return operations::checkCommand(Rest[0], Output);
  }
  if (Command == "diff") {
    if (Rest.size() != 2)
      return reportUsageError("diff needs two documents");
    return operations::diffCommand(Rest[0], Rest[1], Output);
  }
  if (Command == "explain") {
    if (Rest.size() < 2)
      return reportUsageError(
          "explain needs the id of a request and log files");
    return operations::explainCommand(Rest[0], {Rest.begin() + 1, Rest.end()},
                                      Output);
  }
  if (Command == "try")
    return runTry(Rest, Output);
  if (Command == "status" || Command == "burn")
    return runStatusOrBurn(Command, Rest, Output);
  return reportUsageError("unknown command " + Command);
}

} // namespace

int main(int Count, char **Argv) {
  gflags::SetUsageMessage(UsageText);
  gflags::ParseCommandLineNonHelpFlags(&Count, &Argv, true);
  if (isHelpRequested()) {
    std::cout << UsageText;
    return static_cast<int>(ExitCode::Success);
  }
  if (Count < 2)
    return static_cast<int>(reportUsageError("no command"));
  const operations::Console Output{std::cout, std::cerr,
                                   FLAGS_json ? operations::OutputFormat::Json
                                              : operations::OutputFormat::Text};
  const Arguments Rest(Argv + 2, Argv + Count);
  return static_cast<int>(run(Argv[1], Rest, Output));
}
