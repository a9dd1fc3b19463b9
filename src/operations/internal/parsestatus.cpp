#include "operations/internal/parsestatus.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> TableNames = {"targets", "queues",
                                                        "peers"};
constexpr std::string_view Absent = "-";

std::string plain(const json::value &Value) {
  if (!Value.is_string())
    return json::serialize(Value);
  // Quoting keeps control characters out of the terminal.
  const std::string Quoted = json::serialize(Value);
  return Quoted.substr(1, Quoted.size() - 2);
}

std::string textAt(const json::object &From, std::string_view Key) {
  const json::value *Member = From.if_contains({Key.data(), Key.size()});
  return Member == nullptr ? std::string(Absent) : plain(*Member);
}

InstanceStatus::Table tableAt(const json::object &From, std::string_view Key) {
  InstanceStatus::Table Table{std::string(Key), {}, {}};
  const json::value *Member = From.if_contains({Key.data(), Key.size()});
  const json::array *Rows = Member == nullptr ? nullptr : Member->if_array();
  if (Rows == nullptr || Rows->empty() || !Rows->front().is_object())
    return Table;
  for (const auto &Each : Rows->front().get_object())
    Table.Columns_.emplace_back(Each.key());
  for (const json::value &Row : *Rows) {
    const json::object *Members = Row.if_object();
    if (Members == nullptr)
      continue;
    auto &Cells = Table.Rows_.emplace_back();
    for (const std::string &Column : Table.Columns_)
      Cells.push_back(textAt(*Members, Column));
  }
  return Table;
}

} // namespace

std::optional<InstanceStatus> parseStatus(std::string Address,
                                          std::string_view Text) {
  json::error_code Error;
  const json::value Parsed = json::parse({Text.data(), Text.size()}, Error);
  const json::object *Members = Error ? nullptr : Parsed.if_object();
  if (Members == nullptr)
    return std::nullopt;
  InstanceStatus Status;
  Status.Address_ = std::move(Address);
  Status.Instance_ = textAt(*Members, "instance");
  Status.Zone_ = textAt(*Members, "zone");
  Status.Revision_ = textAt(*Members, "revision");
  Status.Digest_ = textAt(*Members, "digest");
  Status.Ready_ = textAt(*Members, "ready");
  for (const std::string_view Name : TableNames)
    Status.Tables_.push_back(tableAt(*Members, Name));
  return Status;
}

} // namespace cranberryspool::operations
