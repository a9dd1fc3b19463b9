#include "report/burnjson.h"

#include "document/types/environmentdocument.h"
#include "framework/units.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <optional>

namespace cranberryspool::report {

namespace {

namespace json = boost::json;
using document::Objective;
using document::Urgency;
using Reason = BurnInputFailure::Reason;

constexpr std::int64_t MaxStart = 1LL << 40;
constexpr std::int64_t MaxWidthSeconds = 86'400;

std::string_view urgencyText(Urgency Value) {
  return Value == Urgency::Urgent ? "urgent" : "ordinary";
}

std::optional<std::string> stringAt(const json::object &From,
                                    std::string_view Key) {
  const json::value *Member = From.if_contains({Key.data(), Key.size()});
  if (Member == nullptr || !Member->is_string())
    return std::nullopt;
  return std::string(Member->get_string());
}

std::optional<std::uint64_t> numberAt(const json::object &From,
                                      std::string_view Key, std::int64_t Most) {
  const json::value *Member = From.if_contains({Key.data(), Key.size()});
  if (Member == nullptr || !Member->is_int64())
    return std::nullopt;
  const std::int64_t Value = Member->get_int64();
  if (Value < 0 || Value > Most)
    return std::nullopt;
  return static_cast<std::uint64_t>(Value);
}

std::optional<ObjectiveKey> keyAt(const json::object &From) {
  const auto Service = stringAt(From, "service");
  const auto Text = stringAt(From, "urgency");
  if (!Service || !Text || (*Text != "urgent" && *Text != "ordinary"))
    return std::nullopt;
  return ObjectiveKey{framework::ServiceName(*Service),
                      *Text == "urgent" ? Urgency::Urgent : Urgency::Ordinary};
}

std::optional<BurnRow> rowOf(const json::value &From) {
  const json::object *Members = From.if_object();
  if (Members == nullptr)
    return std::nullopt;
  const auto Key = keyAt(*Members);
  const auto Start = numberAt(*Members, "start", MaxStart);
  const auto Seconds = numberAt(*Members, "seconds", MaxWidthSeconds);
  const auto Good = numberAt(*Members, "good", MaxStart);
  const auto Bad = numberAt(*Members, "bad", MaxStart);
  if (!Key || !Start || !Seconds || *Seconds == 0 || !Good || !Bad)
    return std::nullopt;
  return BurnRow{*Key, framework::WallTime(std::chrono::seconds(*Start)),
                 std::chrono::seconds(*Seconds), CallCount{*Good, *Bad}};
}

std::optional<std::pair<ObjectiveKey, Objective>>
objectiveOf(const json::value &From) {
  const json::object *Members = From.if_object();
  if (Members == nullptr)
    return std::nullopt;
  const auto Key = keyAt(*Members);
  const auto Latency = stringAt(*Members, "latency");
  const auto Good = stringAt(*Members, "good");
  if (!Key || !Latency || !Good)
    return std::nullopt;
  const auto Within = framework::parseDuration(*Latency);
  const auto Share = framework::parseShare(*Good);
  if (!Within || !Share || *Share == 0 || *Share >= 1'000'000)
    return std::nullopt;
  return std::pair(*Key, Objective{Key->Urgency_, *Within, *Share});
}

json::object keyObject(const ObjectiveKey &Key) {
  const std::string_view Text = urgencyText(Key.Urgency_);
  return {{"service", json::string(Key.Service_.value())},
          {"urgency", json::string(Text.data(), Text.size())}};
}

std::int64_t secondsOf(framework::Duration Value) {
  return std::chrono::duration_cast<std::chrono::seconds>(Value).count();
}

BurnInputFailure invalid(std::string_view List, std::size_t At) {
  return {Reason::InvalidMember,
          "/burn/" + std::string(List) + "/" + std::to_string(At)};
}

const json::array *listAt(const json::object &Burn, std::string_view Key) {
  const json::value *Member = Burn.if_contains({Key.data(), Key.size()});
  return Member == nullptr ? nullptr : Member->if_array();
}

} // namespace

std::map<ObjectiveKey, Objective>
collectObjectives(const document::EnvironmentDocument &Document) {
  std::map<ObjectiveKey, Objective> Objectives;
  for (const document::Service &Each : Document.Services_) {
    for (const Objective &Goal : Each.Objectives_)
      Objectives[{Each.Name_, Goal.Urgency_}] = Goal;
  }
  return Objectives;
}

json::object burnInputToJson(const BurnInput &Input) {
  json::array Objectives;
  for (const auto &[Key, Goal] : Input.Objectives_) {
    json::object Member = keyObject(Key);
    Member["latency"] = json::string(framework::durationText(Goal.Latency_));
    Member["good"] = json::string(framework::shareText(Goal.GoodPerMillion_));
    Objectives.push_back(std::move(Member));
  }
  json::array Rows;
  for (const BurnRow &Each : Input.Rows_) {
    json::object Member = keyObject(Each.Key_);
    Member["start"] = secondsOf(Each.Start_.time_since_epoch());
    Member["seconds"] = secondsOf(Each.Width_);
    Member["good"] = Each.Count_.Good_;
    Member["bad"] = Each.Count_.Bad_;
    Rows.push_back(std::move(Member));
  }
  return {{"objectives", std::move(Objectives)}, {"rows", std::move(Rows)}};
}

framework::Result<BurnInput, BurnInputFailure>
parseBurnInput(std::string_view StatusText) {
  json::error_code Error;
  const json::value Status =
      json::parse({StatusText.data(), StatusText.size()}, Error);
  if (Error)
    return framework::failure(BurnInputFailure{Reason::InvalidJson, ""});
  const json::object *Whole = Status.if_object();
  const json::value *Member =
      Whole == nullptr ? nullptr : Whole->if_contains("burn");
  const json::object *Burn = Member == nullptr ? nullptr : Member->if_object();
  if (Burn == nullptr)
    return framework::failure(BurnInputFailure{Reason::NoBurnMember, "/burn"});
  BurnInput Input;
  if (const json::array *Objectives = listAt(*Burn, "objectives")) {
    for (std::size_t At = 0; At < Objectives->size(); ++At) {
      const auto Goal = objectiveOf((*Objectives)[At]);
      if (!Goal)
        return framework::failure(invalid("objectives", At));
      Input.Objectives_.insert_or_assign(Goal->first, Goal->second);
    }
  }
  const json::array *Rows = listAt(*Burn, "rows");
  if (Rows == nullptr)
    return framework::failure(
        BurnInputFailure{Reason::InvalidMember, "/burn/rows"});
  for (std::size_t At = 0; At < Rows->size(); ++At) {
    const auto Row = rowOf((*Rows)[At]);
    if (!Row)
      return framework::failure(invalid("rows", At));
    Input.Rows_.push_back(*Row);
  }
  return Input;
}

void mergeBurnInput(BurnInput &Into, const BurnInput &From) {
  for (const auto &[Key, Goal] : From.Objectives_)
    Into.Objectives_.insert_or_assign(Key, Goal);
  Into.Rows_.insert(Into.Rows_.end(), From.Rows_.begin(), From.Rows_.end());
}

} // namespace cranberryspool::report
