#include "standins/address.h"
#include "standins/controlserver.h"
#include "standins/standinsettings.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(settings, "",
              "file with the settings of the stand-ins (JSON with comments)");
DEFINE_uint64(seed, 1, "seed of the random number generator");

namespace {

using namespace cranberryspool;
using namespace cranberryspool::standins;

constexpr int ExitUsageError = 2;

int run(const StandinSettings &Settings) {
  boost::asio::io_context Context(1);
  framework::Random Rng(FLAGS_seed);
  std::optional<Deployment> Upstream;
  std::optional<CallerStandin> Callers;
  if (Settings.Deployment_)
    Upstream.emplace(Context, *Settings.Deployment_, Rng);
  if (Settings.Callers_)
    Callers.emplace(Context, *Settings.Callers_);
  const ControlServer Control(Context, parseAddress(Settings.ControlAddress_),
                              Upstream ? &*Upstream : nullptr,
                              Callers ? &*Callers : nullptr,
                              [&Context] { Context.stop(); });
  Context.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "simulates the platform, targets and callers in a trial");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::ifstream File(FLAGS_settings);
  const std::string Text((std::istreambuf_iterator<char>(File)),
                         std::istreambuf_iterator<char>());
  const auto Settings = parseStandinSettings(Text);
  if (!Settings) {
    std::cerr << "cranberry-standin: invalid settings at member '"
              << Settings.error().Member_ << "'\n";
    return ExitUsageError;
  }
  return run(Settings.value());
}
