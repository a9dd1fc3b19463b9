#include "operations/statuscommand.h"

#include "operations/internal/fetchstatus.h"
#include "operations/internal/parsestatus.h"
#include "operations/types/console.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <set>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;
using Cells = std::vector<std::string>;

/// Writes rows of cells in columns as wide as their widest cell.
void writeColumns(const std::vector<Cells> &Rows, std::string_view Indent,
                  std::ostream &Out) {
  std::vector<std::size_t> Widths;
  for (const Cells &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t At = 0; At < Row.size(); ++At)
      Widths[At] = std::max(Widths[At], Row[At].size());
  }
  for (const Cells &Row : Rows) {
    Out << Indent;
    for (std::size_t At = 0; At + 1 < Row.size(); ++At)
      Out << std::left << std::setw(static_cast<int>(Widths[At]) + 2)
          << Row[At];
    Out << Row.back() << '\n';
  }
}

void writeText(const std::vector<InstanceStatus> &Statuses, std::ostream &Out) {
  std::vector<Cells> Rows{
      {"address", "instance", "zone", "revision", "digest", "ready"}};
  for (const InstanceStatus &Each : Statuses)
    Rows.push_back({Each.Address_, Each.Instance_, Each.Zone_, Each.Revision_,
                    Each.Digest_, Each.Ready_});
  writeColumns(Rows, "", Out);
  if (Statuses.size() != 1)
    return;
  for (const InstanceStatus::Table &Each : Statuses.front().Tables_) {
    Out << Each.Name_ << ": " << Each.Rows_.size() << '\n';
    if (Each.Rows_.empty())
      continue;
    std::vector<Cells> Lines{Each.Columns_};
    Lines.insert(Lines.end(), Each.Rows_.begin(), Each.Rows_.end());
    writeColumns(Lines, "  ", Out);
  }
}

bool haveOneDocument(const std::vector<InstanceStatus> &Statuses) {
  std::set<std::pair<std::string, std::string>> InForce;
  for (const InstanceStatus &Each : Statuses)
    InForce.emplace(Each.Revision_, Each.Digest_);
  return InForce.size() <= 1;
}

} // namespace

ExitCode statusCommand(const std::vector<std::string> &Addresses,
                       framework::Duration Timeout, const Console &Streams) {
  const auto Results = fetchStatus(Addresses, Timeout);
  std::vector<InstanceStatus> Statuses;
  json::object Whole;
  for (std::size_t At = 0; At < Results.size(); ++At) {
    const std::string &Address = Addresses[At];
    if (!Results[At]) {
      Streams.Error_ << Address << ": " << fetchFailureText(Results[At].error())
                     << '\n';
      continue;
    }
    auto Status = parseStatus(Address, Results[At].value());
    if (!Status) {
      Streams.Error_ << Address << ": the status is no JSON object\n";
      continue;
    }
    Statuses.push_back(std::move(*Status));
    Whole[Address] = json::parse(Results[At].value());
  }
  if (Streams.Format_ == OutputFormat::Json)
    Streams.Out_ << json::serialize(Whole) << '\n';
  else
    writeText(Statuses, Streams.Out_);
  if (Statuses.size() < Addresses.size())
    return ExitCode::Unreachable;
  if (haveOneDocument(Statuses))
    return ExitCode::Success;
  Streams.Error_ << "the instances have different documents in force\n";
  return ExitCode::NegativeResult;
}

} // namespace cranberryspool::operations
