// The operators' command line: reads flags, picks a command, returns its code.

#include "apps/cranberryctl/usage.h"
#include "operations/checkcommand.h"
#include "operations/diffcommand.h"
#include "operations/types/console.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

DEFINE_bool(json, false, "write JSON");

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
  return ExitCode::Usage;
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
                                    FLAGS_json ? operations::OutputForm::Json
                                               : operations::OutputForm::Text};
  const Arguments Rest(Values + 2, Values + Count);
  return static_cast<int>(run(Values[1], Rest, Streams));
}
