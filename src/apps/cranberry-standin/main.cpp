#include "standins/address.h"
#include "standins/controlport.h"
#include "standins/standinsettings.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(settings, "", "file with the parts to play: JSON with comments");
DEFINE_uint64(seed, 1, "seed of all random choices");

namespace {

using namespace cranberryspool;
using namespace cranberryspool::standins;

constexpr int ExitUsage = 2;

int run(const StandinSettings &Settings) {
  boost::asio::io_context Context(1);
  framework::Random Rng(FLAGS_seed);
  std::optional<Deployment> Behind;
  std::optional<CallerStandin> Callers;
  if (Settings.Deployment_)
    Behind.emplace(Context, *Settings.Deployment_, Rng);
  if (Settings.Callers_)
    Callers.emplace(Context, *Settings.Callers_);
  const ControlPort Control(Context, parseAddress(Settings.ControlAddress_),
                            Behind ? &*Behind : nullptr,
                            Callers ? &*Callers : nullptr,
                            [&Context] { Context.stop(); });
  Context.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("plays the platform, targets and callers in a trial");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::ifstream File(FLAGS_settings);
  const std::string Text((std::istreambuf_iterator<char>(File)),
                         std::istreambuf_iterator<char>());
  const auto Settings = parseStandinSettings(Text);
  if (!Settings) {
    std::cerr << "cranberry-standin: the settings are refused at member '"
              << Settings.error().Member_ << "'\n";
    return ExitUsage;
  }
  return run(Settings.value());
}
