#include "operations/burncommand.h"

#include "operations/internal/fetchstatus.h"
#include "operations/internal/loaddocument.h"
#include "operations/internal/readtextfile.h"
#include "operations/types/console.h"
#include "report/burnjson.h"
#include "report/computeburn.h"
#include "report/writeburn.h"

#include <fstream>
#include <optional>
#include <ostream>

namespace cranberryspool::operations {

namespace {

using report::BurnInput;
using report::BurnInputFailure;

std::string_view describeReason(BurnInputFailure::Reason Reason) {
  switch (Reason) {
  case BurnInputFailure::Reason::InvalidJson:
    return "is not valid JSON";
  case BurnInputFailure::Reason::NoBurnMember:
    return "has no burn counters";
  case BurnInputFailure::Reason::InvalidMember:
    return "has malformed burn counters";
  }
  return "";
}

/// Adds the counters of one status to the sum. Writes an error message and
/// returns false when the status has no usable counters.
bool addCounters(const std::string &Source, std::string_view Text,
                 BurnInput &Sum, const Console &Streams) {
  const auto Parsed = report::parseBurnInput(Text);
  if (Parsed) {
    report::mergeBurnInput(Sum, Parsed.value());
    return true;
  }
  Streams.Error_ << Source << ": " << describeReason(Parsed.error().Reason_);
  if (!Parsed.error().Pointer_.empty())
    Streams.Error_ << " at " << Parsed.error().Pointer_;
  Streams.Error_ << '\n';
  return false;
}

bool addCountersFromFiles(const BurnOptions &Options, BurnInput &Sum,
                          const Console &Streams) {
  bool IsComplete = true;
  for (const std::string &Path : Options.Files_) {
    const auto Text = readTextFile(Path);
    if (!Text) {
      Streams.Error_ << Path << ": " << readFailureText(Text.error()) << '\n';
      IsComplete = false;
      continue;
    }
    IsComplete &= addCounters(Path, Text.value(), Sum, Streams);
  }
  return IsComplete;
}

bool addCountersFromInstances(const BurnOptions &Options, BurnInput &Sum,
                              const Console &Streams) {
  bool IsComplete = true;
  const auto Results = fetchStatus(Options.Addresses_, Options.Timeout_);
  for (std::size_t Index = 0; Index < Results.size(); ++Index) {
    const std::string &Address = Options.Addresses_[Index];
    if (Results[Index]) {
      IsComplete &= addCounters(Address, Results[Index].value(), Sum, Streams);
      continue;
    }
    Streams.Error_ << Address << ": "
                   << fetchFailureText(Results[Index].error()) << '\n';
    IsComplete = false;
  }
  return IsComplete;
}

bool writeSvg(const std::string &Path, const BurnInput &Input,
              const report::BurnReport &Report, const Console &Streams) {
  std::ofstream File(Path);
  report::writeBurnSvg(Input, Report, File);
  File.close();
  if (File)
    return true;
  Streams.Error_ << Path << ": cannot be written\n";
  return false;
}

} // namespace

ExitCode burnCommand(const BurnOptions &Options, framework::WallTime Now,
                     const Console &Streams) {
  BurnInput Input;
  if (!addCountersFromFiles(Options, Input, Streams))
    return ExitCode::BadInput;
  const bool IsComplete = addCountersFromInstances(Options, Input, Streams);
  if (!Options.DocumentPath_.empty()) {
    const auto Document = loadDocument(Options.DocumentPath_, Streams);
    if (!Document)
      return ExitCode::BadInput;
    Input.Objectives_ = report::collectObjectives(Document.value());
  }
  const auto Report = report::computeBurnReport(
      Input, Options.Addresses_.empty() ? report::latestBucketEnd(Input) : Now);
  if (Streams.Format_ == OutputFormat::Json)
    report::writeBurnJson(Report, Streams.Out_);
  else
    report::writeBurnText(Report, Streams.Out_);
  if (!Options.SvgPath_.empty() &&
      !writeSvg(Options.SvgPath_, Input, Report, Streams))
    return ExitCode::BadInput;
  if (Report.highestAlert() >= report::BurnAlert::Ticket)
    return ExitCode::NegativeResult;
  return IsComplete ? ExitCode::Success : ExitCode::Unreachable;
}

} // namespace cranberryspool::operations
