#include "operations/explaincommand.h"

#include "operations/internal/loglines.h"
#include "operations/internal/readtextfile.h"
#include "operations/types/console.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <ostream>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;
using Lines = std::vector<json::object>;

/// What a reason or a result means for the caller's request.
struct Meaning {
  std::string_view Word_;
  std::string_view Text_;
};

constexpr std::array<Meaning, 16> Meanings = {{
    {"no-target", "no target of the service could take the request"},
    {"queue-full", "too many requests of the service were waiting"},
    {"overloaded", "it would have waited longer than it has time"},
    {"deadline-too-short", "the time left was shorter than an answer takes"},
    {"deadline-passed", "the time of the caller or the route ran out"},
    {"shed", "targets refused it without running it"},
    {"connection-lost", "the connection broke after the request was sent"},
    {"connection-silent", "the connection went silent after it was sent"},
    {"answer-truncated", "the target broke off its answer"},
    {"answer-mismatched", "the answer belonged to another request"},
    {"connect-failed", "no connection to a target could be opened"},
    {"no-such-kind", "the document in force has no route for it"},
    {"view-too-old", "this instance's view of the platform was too old"},
    {"instance-stopping", "the instance was stopping"},
    {"retries-exhausted", "all attempts that the route allows had failed"},
    {"caller-gone", "the caller closed its connection"},
}};

std::string_view meaningOf(std::string_view Word) {
  for (const Meaning &Each : Meanings)
    if (Each.Word_ == Word)
      return Each.Text_;
  return {};
}

void writeCause(const Lines &Own, std::ostream &Out) {
  std::size_t Endings = 0;
  for (const json::object &Each : Own) {
    if (fieldText(Each, "event") != "request-ended")
      continue;
    ++Endings;
    const std::string Reason = fieldText(Each, "reason");
    Out << fieldText(Each, "ending") << " with status "
        << fieldText(Each, "status") << " after "
        << fieldText(Each, "elapsed_ms") << " ms at "
        << fieldText(Each, "instance") << ", " << fieldText(Each, "attempts")
        << " attempts, reason " << Reason;
    if (const auto Text = meaningOf(Reason); !Text.empty())
      Out << ": " << Text;
    Out << "; document " << fieldText(Each, "version") << ", view "
        << fieldText(Each, "view_age_ms") << " ms old\n";
  }
  if (Endings == 0)
    Out << "no ending in these logs: the instance ended, or the line was "
           "dropped (log-dropped)\n";
}

void writeLine(const json::object &Line, std::ostream &Out) {
  Out << "  " << fieldText(Line, "time") << ' ' << fieldText(Line, "instance")
      << ' ' << fieldText(Line, "event");
  for (const auto &Field : Line) {
    const std::string Name(Field.key());
    if (Name == "time" || Name == "instance" || Name == "event" ||
        Name == "request")
      continue;
    Out << ' ' << Name << '=' << fieldText(Line, Name);
  }
  Out << '\n';
}

json::array arrayOf(const Lines &From) {
  json::array List;
  for (const json::object &Each : From)
    List.push_back(Each);
  return List;
}

} // namespace

ExitCode explainCommand(const std::string &Request,
                        const std::vector<std::string> &Paths,
                        const Console &Streams) {
  LogLines Logs(Request);
  for (const std::string &Path : Paths) {
    const auto Text = readTextFile(Path);
    if (!Text) {
      Streams.Error_ << Path << ": " << readFailureText(Text.error()) << '\n';
      return ExitCode::BadInput;
    }
    Logs.take(Text.value());
  }
  const Lines Own = Logs.ofRequest();
  const Lines Beliefs = Logs.ofTargets();
  if (Own.empty()) {
    Streams.Error_ << "no line of request " << Request
                   << "; requests that end well may not be logged under load\n";
    return ExitCode::NegativeResult;
  }
  if (Streams.Format_ == OutputFormat::Json) {
    Streams.Out_ << json::serialize(json::object{{"request", Request},
                                                 {"lines", arrayOf(Own)},
                                                 {"beliefs", arrayOf(Beliefs)}})
                 << '\n';
    return ExitCode::Success;
  }
  writeCause(Own, Streams.Out_);
  for (const json::object &Each : Own)
    writeLine(Each, Streams.Out_);
  if (!Beliefs.empty())
    Streams.Out_ << "what was believed of its targets:\n";
  for (const json::object &Each : Beliefs)
    writeLine(Each, Streams.Out_);
  return ExitCode::Success;
}

} // namespace cranberryspool::operations
