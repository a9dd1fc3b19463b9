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

/// Writes rows of cells, with each column as wide as its widest cell.
void writeAlignedRows(const std::vector<Cells> &Rows, std::string_view Indent,
                      std::ostream &Out) {
  std::vector<std::size_t> Widths;
  for (const Cells &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Index = 0; Index < Row.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
  }
  for (const Cells &Row : Rows) {
    Out << Indent;
    for (std::size_t Index = 0; Index + 1 < Row.size(); ++Index)
      Out << std::left << std::setw(static_cast<int>(Widths[Index]) + 2)
          << Row[Index];
    Out << Row.back() << '\n';
  }
}

void writeText(const std::vector<InstanceStatus> &Statuses, std::ostream &Out) {
  std::vector<Cells> Rows{
      {"address", "instance", "zone", "revision", "digest", "ready"}};
  for (const InstanceStatus &Each : Statuses)
    Rows.push_back({Each.Address_, Each.Instance_, Each.Zone_, Each.Revision_,
                    Each.Digest_, Each.Ready_});
  writeAlignedRows(Rows, "", Out);
  if (Statuses.size() != 1)
    return;
  for (const InstanceStatus::Table &Each : Statuses.front().Tables_) {
    Out << Each.Name_ << ": " << Each.Rows_.size() << '\n';
    if (Each.Rows_.empty())
      continue;
    std::vector<Cells> Lines{Each.Columns_};
    Lines.insert(Lines.end(), Each.Rows_.begin(), Each.Rows_.end());
    writeAlignedRows(Lines, "  ", Out);
  }
}

bool haveSameDocument(const std::vector<InstanceStatus> &Statuses) {
  std::set<std::pair<std::string, std::string>> Documents;
  for (const InstanceStatus &Each : Statuses)
    Documents.emplace(Each.Revision_, Each.Digest_);
  return Documents.size() <= 1;
}

} // namespace

ExitCode statusCommand(const std::vector<std::string> &Addresses,
                       framework::Duration Timeout, const Console &Streams) {
  const auto Results = fetchStatus(Addresses, Timeout);
  std::vector<InstanceStatus> Statuses;
  json::object StatusByAddress;
  for (std::size_t Index = 0; Index < Results.size(); ++Index) {
    const std::string &Address = Addresses[Index];
    if (!Results[Index]) {
      Streams.Error_ << Address << ": "
                     << fetchFailureText(Results[Index].error()) << '\n';
      continue;
    }
    auto Status = parseStatus(Address, Results[Index].value());
    if (!Status) {
      Streams.Error_ << Address << ": the status is not a JSON object\n";
      continue;
    }
    Statuses.push_back(std::move(*Status));
    StatusByAddress[Address] = json::parse(Results[Index].value());
  }
  if (Streams.Format_ == OutputFormat::Json)
    Streams.Out_ << json::serialize(StatusByAddress) << '\n';
  else
    writeText(Statuses, Streams.Out_);
  if (Statuses.size() < Addresses.size())
    return ExitCode::Unreachable;
  if (haveSameDocument(Statuses))
    return ExitCode::Success;
  Streams.Error_ << "the instances use different documents\n";
  return ExitCode::NegativeResult;
}

} // namespace cranberryspool::operations
