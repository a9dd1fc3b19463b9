#include "operations/explaincommand.h"

#include "operations/internal/readtextfile.h"
#include "operations/internal/requestlog.h"
#include "operations/types/console.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <ostream>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;
using Lines = std::vector<json::object>;

/// Description of a `reason` or `result` value in the log for operators.
struct ValueDescription {
  std::string_view Value_;
  std::string_view Description_;
};

constexpr std::array<ValueDescription, 16> ValueDescriptions = {{
    {"no-target", "no target of the service could take the request"},
    {"queue-full", "too many requests of the service were waiting"},
    {"overloaded", "its expected wait was longer than its remaining time"},
    {"deadline-too-short",
     "the remaining time was shorter than a response takes"},
    {"deadline-passed", "the deadline of the caller or of the route passed"},
    {"shed", "targets refused the request without executing it"},
    {"connection-lost", "the connection broke after the request was sent"},
    {"connection-silent",
     "the connection went silent after the request was sent"},
    {"answer-truncated", "the target broke off its response"},
    {"answer-mismatched", "the response belonged to another request"},
    {"connect-failed", "no connection to a target could be opened"},
    {"no-such-kind", "the active document has no route for it"},
    {"view-too-old", "this instance's view of the platform was too old"},
    {"instance-stopping", "the instance was stopping"},
    {"retries-exhausted", "all attempts that the route allows had failed"},
    {"caller-gone", "the caller closed its connection"},
}};

std::string_view describeValue(std::string_view Value) {
  for (const ValueDescription &Each : ValueDescriptions)
    if (Each.Value_ == Value)
      return Each.Description_;
  return {};
}

void writeOutcome(const Lines &RequestLines, std::ostream &Out) {
  std::size_t EndedLines = 0;
  for (const json::object &Each : RequestLines) {
    if (fieldText(Each, "event") != "request-ended")
      continue;
    ++EndedLines;
    const std::string Reason = fieldText(Each, "reason");
    Out << fieldText(Each, "ending") << " with status "
        << fieldText(Each, "status") << " after "
        << fieldText(Each, "elapsed_ms") << " ms at "
        << fieldText(Each, "instance") << ", " << fieldText(Each, "attempts")
        << " attempts, reason " << Reason;
    if (const auto Description = describeValue(Reason); !Description.empty())
      Out << ": " << Description;
    Out << "; document " << fieldText(Each, "version") << ", view "
        << fieldText(Each, "view_age_ms") << " ms old\n";
  }
  if (EndedLines == 0)
    Out << "no request-ended line in these logs: the instance stopped, or "
           "the line was dropped (log-dropped)\n";
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

json::array toJsonArray(const Lines &Entries) {
  json::array List;
  for (const json::object &Each : Entries)
    List.push_back(Each);
  return List;
}

} // namespace

ExitCode explainCommand(const std::string &RequestId,
                        const std::vector<std::string> &Paths,
                        const Console &Streams) {
  RequestLog Log(RequestId);
  for (const std::string &Path : Paths) {
    const auto Text = readTextFile(Path);
    if (!Text) {
      Streams.Error_ << Path << ": " << readFailureText(Text.error()) << '\n';
      return ExitCode::BadInput;
    }
    Log.addLines(Text.value());
  }
  const Lines RequestLines = Log.requestLines();
  const Lines TargetEvents = Log.targetEvents();
  if (RequestLines.empty()) {
    Streams.Error_ << "no log line of request " << RequestId
                   << "; successful requests may not be logged under load\n";
    return ExitCode::NegativeResult;
  }
  if (Streams.Format_ == OutputFormat::Json) {
    Streams.Out_ << json::serialize(
                        json::object{{"request", RequestId},
                                     {"lines", toJsonArray(RequestLines)},
                                     {"beliefs", toJsonArray(TargetEvents)}})
                 << '\n';
    return ExitCode::Success;
  }
  writeOutcome(RequestLines, Streams.Out_);
  for (const json::object &Each : RequestLines)
    writeLine(Each, Streams.Out_);
  if (!TargetEvents.empty())
    Streams.Out_ << "events of its targets:\n";
  for (const json::object &Each : TargetEvents)
    writeLine(Each, Streams.Out_);
  return ExitCode::Success;
}

} // namespace cranberryspool::operations
