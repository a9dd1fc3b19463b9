#include "session/environmentfile.h"
#include "session/sessionrunner.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

DEFINE_string(environment, "",
              "JSON file with the document and the instance list");
DEFINE_uint64(seed, 1, "seed of the random number generator of the core");
DEFINE_bool(everything, false, "also print periodic actions");

namespace {

using namespace cranberryspool::session;

constexpr int ExitFailure = 1;
constexpr int ExitUsageError = 2;

int reportError(const SessionError &Failure) {
  std::cerr << "cranberry-session: " << formatSessionError(Failure) << '\n';
  return ExitFailure;
}

int runScript(const char *ScriptName) {
  std::ifstream EnvironmentFile(FLAGS_environment);
  const std::string Text((std::istreambuf_iterator<char>(EnvironmentFile)),
                         std::istreambuf_iterator<char>());
  const auto Setup = parseEnvironmentSetup(Text);
  if (!Setup)
    return reportError(Setup.error());
  std::ifstream Script(ScriptName);
  if (!Script) {
    std::cerr << "cranberry-session: cannot read " << ScriptName << '\n';
    return ExitUsageError;
  }
  SessionRunner Runner(Setup.value(), FLAGS_seed, FLAGS_everything, std::cout);
  const auto Result = Runner.run(Script);
  return Result ? 0 : reportError(Result.error());
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "runs a session script against a core and prints its actions\n"
      "usage: cranberry-session --environment=FILE SCRIPT");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (Argc == 2)
    return runScript(Argv[1]);
  std::cerr << "usage: cranberry-session --environment=FILE SCRIPT\n";
  return ExitUsageError;
}
