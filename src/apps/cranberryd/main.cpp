#include "entry/entryinstance.h"
#include "entry/settingsfile.h"
#include "framework/log/logwriter.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

DEFINE_string(settings, "", "settings file (JSON with comments)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace cranberryspool;
using entry::ExitCode;

constexpr const char *Usage =
    "runs one entry instance.\n\n"
    "  cranberryd --settings FILE [--check]\n\n"
    "SIGTERM and SIGINT stop it after the calls in flight. Exit codes: 0 "
    "stopped\n"
    "on request, or settings valid (--check); 2 the command line or the\n"
    "settings are invalid; 3 cannot listen on an address; 4 a worker failed\n"
    "more often than its restart limit allows.";

int toExitStatus(ExitCode Code) { return static_cast<int>(Code); }

framework::Result<std::string, ExitCode> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (Path.empty() || !File || !(Text << File.rdbuf())) {
    std::cerr << "cranberryd: cannot read the settings file '" << Path << "'\n";
    return ExitCode::BadSettings;
  }
  return Text.str();
}

framework::Result<entry::EntrySettings, ExitCode> readSettings() {
  BOOST_OUTCOME_TRY(const std::string Text, readFile(FLAGS_settings));
  auto Parsed = entry::parseSettings(Text);
  if (Parsed)
    return std::move(Parsed.value());
  for (const document::DocumentFault &Fault : Parsed.error())
    std::cerr << FLAGS_settings << ": " << document::formatFault(Fault) << '\n';
  return ExitCode::BadSettings;
}

/// Blocks SIGTERM and SIGINT in this thread and the threads that it starts, so
/// that one thread can wait for them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int run(entry::EntrySettings Settings) {
  std::signal(SIGPIPE, SIG_IGN);
  // The signals must be blocked before any thread starts: a thread that does
  // not block SIGTERM would terminate the process on receiving it.
  const sigset_t Signals = blockStopSignals();
  framework::LogWriter Log(STDOUT_FILENO, Settings.Name_.value());
  Settings.Log_ = &Log;
  entry::EntryInstance Instance(std::move(Settings));
  if (const auto Started = Instance.start(); !Started) {
    const entry::StartFailure &Failure = Started.error();
    std::cerr << "cranberryd: cannot listen on " << Failure.Endpoint_.Address_
              << ':' << Failure.Endpoint_.Port_ << ": "
              << Failure.Reason_.message() << '\n';
    return toExitStatus(ExitCode::CannotListen);
  }
  std::thread([&Instance, Signals] {
    int Signal = 0;
    if (sigwait(&Signals, &Signal) == 0)
      Instance.requestStop();
  }).detach();
  return toExitStatus(Instance.waitUntilStopped());
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (Count > 1) {
    std::cerr << "cranberryd: unexpected argument '" << Arguments[1] << "'\n";
    return toExitStatus(ExitCode::BadSettings);
  }
  auto Settings = readSettings();
  if (!Settings)
    return toExitStatus(Settings.error());
  if (!FLAGS_check)
    return run(std::move(Settings.value()));
  std::cout << FLAGS_settings << ": settings are valid\n";
  return toExitStatus(ExitCode::Stopped);
}
