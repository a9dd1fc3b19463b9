#include "trial/trycommand.h"

#include "document/sections.h"
#include "operations/internal/loaddocument.h"
#include "operations/internal/readtextfile.h"
#include "operations/types/console.h"
#include "trial/documenttrial.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <ostream>
#include <utility>

namespace cranberryspool::trial {

namespace {

namespace json = boost::json;
using operations::ExitCode;

double toMilliseconds(framework::Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

std::string_view describe(TrialError::Kind Kind) {
  return Kind == TrialError::Kind::AddressInUse
             ? "an address is in use; cannot start instance"
             : "instances did not become ready in time";
}

void writeText(const std::string &Path, const TrialReport &Report,
               std::ostream &Out) {
  Out << Path << ": tried, digest " << document::digestText(Report.Digest_)
      << '\n'
      << std::left << std::setw(40) << "kind" << std::right << std::setw(8)
      << "calls" << std::setw(10) << "answered" << std::setw(8) << "lost"
      << std::setw(8) << "twice" << std::setw(10) << "p50 ms" << std::setw(10)
      << "p99 ms" << '\n';
  for (const KindResult &Kind : Report.Kinds_)
    Out << std::left << std::setw(40)
        << Kind.Service_.value() + "/" + Kind.Kind_.value() << std::right
        << std::setw(8) << Kind.Calls_ << std::setw(10) << Kind.Answered_
        << std::setw(8) << Kind.Failed_ << std::setw(8) << Kind.RunTwice_
        << std::fixed << std::setprecision(2) << std::setw(10)
        << toMilliseconds(Kind.P50_) << std::setw(10)
        << toMilliseconds(Kind.P99_) << '\n';
  Out << (isPromotable(Report) ? "may be promoted\n"
                               : "must not be promoted\n");
}

void writeJson(const std::string &Path, const TrialReport &Report,
               std::ostream &Out) {
  json::array Kinds;
  for (const KindResult &Kind : Report.Kinds_)
    Kinds.push_back({{"service", json::string(Kind.Service_.value())},
                     {"kind", json::string(Kind.Kind_.value())},
                     {"calls", Kind.Calls_},
                     {"answered", Kind.Answered_},
                     {"lost", Kind.Failed_},
                     {"run-twice", Kind.RunTwice_},
                     {"p50-ms", toMilliseconds(Kind.P50_)},
                     {"p99-ms", toMilliseconds(Kind.P99_)}});
  const std::string Digest = document::digestText(Report.Digest_);
  Out << json::serialize(json::object{{"document", json::string(Path)},
                                      {"digest", json::string(Digest)},
                                      {"kinds", std::move(Kinds)},
                                      {"promotable", isPromotable(Report)}})
      << '\n';
}

} // namespace

ExitCode tryCommand(const std::string &Path, const TrialSettings &Settings,
                    const operations::Console &Streams) {
  auto Document = operations::loadDocument(Path, Streams);
  if (!Document)
    return Document.error();
  auto Text = operations::readTextFile(Path);
  if (!Text)
    return ExitCode::BadInput;
  DocumentTrial Trial(std::move(Document.value()), std::move(Text.value()),
                      Settings);
  const auto Report = Trial.run();
  if (!Report) {
    Streams.Error_ << "cranberryctl: " << describe(Report.error().Kind_) << ' '
                   << Report.error().Subject_ << '\n';
    return ExitCode::Unreachable;
  }
  if (Streams.Format_ == operations::OutputFormat::Json)
    writeJson(Path, Report.value(), Streams.Out_);
  else
    writeText(Path, Report.value(), Streams.Out_);
  return isPromotable(Report.value()) ? ExitCode::Success
                                      : ExitCode::NegativeResult;
}

} // namespace cranberryspool::trial
