#include "operations/internal/parsestatus.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace cranberryspool::operations {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> TableNames = {"targets", "queues",
                                                        "peers"};
constexpr std::string_view AbsentMember = "-";

std::string formatCell(const json::value &Value) {
  if (!Value.is_string())
    return json::serialize(Value);
  // Serialising escapes control characters, which could otherwise reach the
  // terminal of the operator.
  const std::string Quoted = json::serialize(Value);
  return Quoted.substr(1, Quoted.size() - 2);
}

std::string memberText(const json::object &Object, std::string_view Key) {
  const json::value *Member = Object.if_contains({Key.data(), Key.size()});
  return Member == nullptr ? std::string(AbsentMember) : formatCell(*Member);
}

InstanceStatus::Table parseTable(const json::object &Object,
                                 std::string_view Key) {
  InstanceStatus::Table Table{std::string(Key), {}, {}};
  const json::value *Member = Object.if_contains({Key.data(), Key.size()});
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
      Cells.push_back(memberText(*Members, Column));
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
  Status.Instance_ = memberText(*Members, "instance");
  Status.Zone_ = memberText(*Members, "zone");
  Status.Revision_ = memberText(*Members, "revision");
  Status.Digest_ = memberText(*Members, "digest");
  Status.Ready_ = memberText(*Members, "ready");
  for (const std::string_view Name : TableNames)
    Status.Tables_.push_back(parseTable(*Members, Name));
  return Status;
}

} // namespace cranberryspool::operations
