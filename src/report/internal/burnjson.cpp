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

/// Bounds start times, in seconds, and call counts. A start time of this size
/// still fits into 64 bits in microseconds.
constexpr std::int64_t MaxStartOrCount = 1LL << 40;
constexpr std::int64_t MaxBucketSeconds = 86'400;

std::string_view urgencyText(Urgency Value) {
  return Value == Urgency::Urgent ? "urgent" : "ordinary";
}

std::optional<std::string> readString(const json::object &Object,
                                      std::string_view Key) {
  const json::value *Member = Object.if_contains({Key.data(), Key.size()});
  if (Member == nullptr || !Member->is_string())
    return std::nullopt;
  return std::string(Member->get_string());
}

std::optional<std::uint64_t>
readNumber(const json::object &Object, std::string_view Key, std::int64_t Max) {
  const json::value *Member = Object.if_contains({Key.data(), Key.size()});
  if (Member == nullptr || !Member->is_int64())
    return std::nullopt;
  const std::int64_t Value = Member->get_int64();
  if (Value < 0 || Value > Max)
    return std::nullopt;
  return static_cast<std::uint64_t>(Value);
}

std::optional<ObjectiveKey> readKey(const json::object &Object) {
  const auto Service = readString(Object, "service");
  const auto UrgencyName = readString(Object, "urgency");
  if (!Service || !UrgencyName ||
      (*UrgencyName != "urgent" && *UrgencyName != "ordinary"))
    return std::nullopt;
  return ObjectiveKey{framework::ServiceName(*Service),
                      *UrgencyName == "urgent" ? Urgency::Urgent
                                               : Urgency::Ordinary};
}

std::optional<CallCountBucket> readBucket(const json::value &Value) {
  const json::object *Members = Value.if_object();
  if (Members == nullptr)
    return std::nullopt;
  const auto Key = readKey(*Members);
  const auto Start = readNumber(*Members, "start", MaxStartOrCount);
  const auto Seconds = readNumber(*Members, "seconds", MaxBucketSeconds);
  const auto Good = readNumber(*Members, "good", MaxStartOrCount);
  const auto Bad = readNumber(*Members, "bad", MaxStartOrCount);
  if (!Key || !Start || !Seconds || *Seconds == 0 || !Good || !Bad)
    return std::nullopt;
  return CallCountBucket{
      *Key, framework::WallTime(std::chrono::seconds(*Start)),
      std::chrono::seconds(*Seconds), CallCount{*Good, *Bad}};
}

std::optional<std::pair<ObjectiveKey, Objective>>
readObjective(const json::value &Value) {
  const json::object *Members = Value.if_object();
  if (Members == nullptr)
    return std::nullopt;
  const auto Key = readKey(*Members);
  const auto Latency = readString(*Members, "latency");
  const auto Good = readString(*Members, "good");
  if (!Key || !Latency || !Good)
    return std::nullopt;
  const auto LatencyLimit = framework::parseDuration(*Latency);
  const auto GoodPerMillion = framework::parseShare(*Good);
  if (!LatencyLimit || !GoodPerMillion || *GoodPerMillion == 0 ||
      *GoodPerMillion >= 1'000'000)
    return std::nullopt;
  return std::pair(*Key,
                   Objective{Key->Urgency_, *LatencyLimit, *GoodPerMillion});
}

json::object keyToJson(const ObjectiveKey &Key) {
  const std::string_view Text = urgencyText(Key.Urgency_);
  return {{"service", json::string(Key.Service_.value())},
          {"urgency", json::string(Text.data(), Text.size())}};
}

std::int64_t toSeconds(framework::Duration Value) {
  return std::chrono::duration_cast<std::chrono::seconds>(Value).count();
}

BurnInputFailure invalidElement(std::string_view ArrayName, std::size_t Index) {
  return {Reason::InvalidMember,
          "/burn/" + std::string(ArrayName) + "/" + std::to_string(Index)};
}

const json::array *findArray(const json::object &Burn, std::string_view Key) {
  const json::value *Member = Burn.if_contains({Key.data(), Key.size()});
  return Member == nullptr ? nullptr : Member->if_array();
}

} // namespace

std::map<ObjectiveKey, Objective>
collectObjectives(const document::EnvironmentDocument &Document) {
  std::map<ObjectiveKey, Objective> Objectives;
  for (const document::Service &Service : Document.Services_) {
    for (const Objective &Slo : Service.Objectives_)
      Objectives[{Service.Name_, Slo.Urgency_}] = Slo;
  }
  return Objectives;
}

json::object burnInputToJson(const BurnInput &Input) {
  json::array Objectives;
  for (const auto &[Key, Slo] : Input.Objectives_) {
    json::object Element = keyToJson(Key);
    Element["latency"] = json::string(framework::durationText(Slo.Latency_));
    Element["good"] = json::string(framework::shareText(Slo.GoodPerMillion_));
    Objectives.push_back(std::move(Element));
  }
  json::array Buckets;
  for (const CallCountBucket &Bucket : Input.Buckets_) {
    json::object Element = keyToJson(Bucket.Key_);
    Element["start"] = toSeconds(Bucket.Start_.time_since_epoch());
    Element["seconds"] = toSeconds(Bucket.Width_);
    Element["good"] = Bucket.Count_.Good_;
    Element["bad"] = Bucket.Count_.Bad_;
    Buckets.push_back(std::move(Element));
  }
  return {{"objectives", std::move(Objectives)}, {"rows", std::move(Buckets)}};
}

framework::Result<BurnInput, BurnInputFailure>
parseBurnInput(std::string_view StatusText) {
  json::error_code Error;
  const json::value Status =
      json::parse({StatusText.data(), StatusText.size()}, Error);
  if (Error)
    return framework::failure(BurnInputFailure{Reason::InvalidJson, ""});
  const json::object *StatusObject = Status.if_object();
  const json::value *Member =
      StatusObject == nullptr ? nullptr : StatusObject->if_contains("burn");
  const json::object *Burn = Member == nullptr ? nullptr : Member->if_object();
  if (Burn == nullptr)
    return framework::failure(BurnInputFailure{Reason::NoBurnMember, "/burn"});
  BurnInput Input;
  if (const json::array *Objectives = findArray(*Burn, "objectives")) {
    for (std::size_t Index = 0; Index < Objectives->size(); ++Index) {
      const auto KeyAndObjective = readObjective((*Objectives)[Index]);
      if (!KeyAndObjective)
        return framework::failure(invalidElement("objectives", Index));
      Input.Objectives_.insert_or_assign(KeyAndObjective->first,
                                         KeyAndObjective->second);
    }
  }
  const json::array *Buckets = findArray(*Burn, "rows");
  if (Buckets == nullptr)
    return framework::failure(
        BurnInputFailure{Reason::InvalidMember, "/burn/rows"});
  for (std::size_t Index = 0; Index < Buckets->size(); ++Index) {
    const auto Bucket = readBucket((*Buckets)[Index]);
    if (!Bucket)
      return framework::failure(invalidElement("rows", Index));
    Input.Buckets_.push_back(*Bucket);
  }
  return Input;
}

void mergeBurnInput(BurnInput &Into, const BurnInput &From) {
  for (const auto &[Key, Slo] : From.Objectives_)
    Into.Objectives_.insert_or_assign(Key, Slo);
  Into.Buckets_.insert(Into.Buckets_.end(), From.Buckets_.begin(),
                       From.Buckets_.end());
}

} // namespace cranberryspool::report
