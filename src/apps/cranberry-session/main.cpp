#include "session/environmentfile.h"
#include "session/sessionrunner.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

DEFINE_string(environment, "",
              "file with the document and the list of instances: JSON");
DEFINE_uint64(seed, 1, "seed of the core");
DEFINE_bool(everything, false, "print what recurs without end as well");

namespace {

using namespace cranberryspool::session;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

int fail(const SessionError &Failure) {
  std::cerr << "cranberry-session: " << formatSessionError(Failure) << '\n';
  return ExitFailed;
}

int play(const char *ScriptName) {
  std::ifstream EnvironmentFile(FLAGS_environment);
  const std::string Text((std::istreambuf_iterator<char>(EnvironmentFile)),
                         std::istreambuf_iterator<char>());
  const auto Setup = parseEnvironmentSetup(Text);
  if (!Setup)
    return fail(Setup.error());
  std::ifstream Script(ScriptName);
  if (!Script) {
    std::cerr << "cranberry-session: cannot read " << ScriptName << '\n';
    return ExitUsage;
  }
  SessionRunner Runner(Setup.value(), FLAGS_seed, FLAGS_everything, std::cout);
  const auto Played = Runner.run(Script);
  return Played ? 0 : fail(Played.error());
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("plays a session to a core and prints its actions\n"
                          "usage: cranberry-session --environment=FILE SCRIPT");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (Argc == 2)
    return play(Argv[1]);
  std::cerr << "usage: cranberry-session --environment=FILE SCRIPT\n";
  return ExitUsage;
}
