#include "document/objectreader.h"

#include "framework/units.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace cranberryspool::document {

namespace {

using framework::Duration;
using framework::durationText;
using framework::parseDuration;
using framework::parseShare;

constexpr std::size_t MaxNameLength = 63;
constexpr std::size_t MaxQuotedLength = 60;

std::string escapePointerToken(std::string_view Key) {
  std::string Escaped;
  for (const char Character : Key) {
    if (Character == '~')
      Escaped += "~0";
    else if (Character == '/')
      Escaped += "~1";
    else
      Escaped += Character;
  }
  return Escaped;
}

std::string quoted(std::string_view Text) {
  std::string Quoted = boost::json::serialize(
      boost::json::string_view(Text.data(), Text.size()));
  if (Quoted.size() <= MaxQuotedLength)
    return Quoted;
  std::size_t End = MaxQuotedLength;
  while ((static_cast<unsigned char>(Quoted[End]) & 0xC0U) == 0x80U)
    --End;
  return Quoted.substr(0, End) + "...";
}

struct ValueDescriber {
  std::string operator()(std::nullptr_t) const { return "null"; }
  std::string operator()(bool Value) const { return Value ? "true" : "false"; }
  std::string operator()(std::int64_t Value) const {
    return std::to_string(Value);
  }
  std::string operator()(double Value) const {
    return boost::json::serialize(boost::json::value(Value));
  }
  std::string operator()(const std::string &Value) const {
    return quoted(Value);
  }
  std::string operator()(const JsonTree::Array &Value) const {
    return "an array of " + std::to_string(Value.size());
  }
  std::string operator()(const JsonTree::Object &) const { return "an object"; }
};

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '-';
}

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength)
    return false;
  if (Text.front() == '-' || Text.back() == '-')
    return false;
  return std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

template <typename Value> std::string rangeText(Range<Value> Allowed) {
  return std::to_string(Allowed.Min_) + " to " + std::to_string(Allowed.Max_);
}

} // namespace

ObjectReader::ObjectReader(const JsonTree &Tree, JsonLocation Location,
                           FaultCollector &Faults, FoundValues Shown)
    : Tree_(Tree), Location_(std::move(Location)), Faults_(Faults),
      Shown_(Shown) {
  const JsonTree::Node &Node = Tree_.node(Location_.Node_);
  Members_ = std::get_if<JsonTree::Object>(&Node.Content_);
  if (Members_ == nullptr)
    Faults_.add(Node.Offset_, {FaultKind::WrongType, Location_.Pointer_, 0, 0,
                               "an object", foundText(Node.Content_)});
}

std::string ObjectReader::pointerTo(std::string_view Key) const {
  return Location_.Pointer_ + "/" + escapePointerToken(Key);
}

const JsonTree::Member *ObjectReader::find(std::string_view Key) {
  if (std::find(RequestedKeys_.begin(), RequestedKeys_.end(), Key) ==
      RequestedKeys_.end())
    RequestedKeys_.push_back(Key);
  if (Members_ == nullptr)
    return nullptr;
  const auto Found = std::find_if(
      Members_->begin(), Members_->end(),
      [Key](const JsonTree::Member &Each) { return Each.Key_ == Key; });
  return Found == Members_->end() ? nullptr : &*Found;
}

const JsonTree::Member *ObjectReader::require(std::string_view Key) {
  const JsonTree::Member *Found = find(Key);
  if (Found == nullptr && Members_ != nullptr)
    Faults_.add(Tree_.node(Location_.Node_).Offset_,
                {FaultKind::MissingKey, Location_.Pointer_, 0, 0,
                 "the key " + quoted(Key), ""});
  return Found;
}

void ObjectReader::reportMember(const JsonTree::Member &Member, FaultKind Kind,
                                std::string Expected) {
  const JsonTree::Node &Node = Tree_.node(Member.Value_);
  Faults_.add(Node.Offset_, {Kind, pointerTo(Member.Key_), 0, 0,
                             std::move(Expected), foundText(Node.Content_)});
}

std::string ObjectReader::foundText(const JsonTree::Content &Content) const {
  return Shown_ == FoundValues::Shown ? std::visit(ValueDescriber(), Content)
                                      : "";
}

std::string ObjectReader::foundKey(const std::string &Key,
                                   std::string_view Suffix) const {
  return Shown_ == FoundValues::Shown ? quoted(Key) + std::string(Suffix) : "";
}

std::string ObjectReader::pointerToUnexpected(const std::string &Key) const {
  return Shown_ == FoundValues::Shown ? pointerTo(Key) : Location_.Pointer_;
}

void ObjectReader::report(std::string_view Key, FaultKind Kind,
                          std::string Expected) {
  if (const JsonTree::Member *Found = find(Key))
    reportMember(*Found, Kind, std::move(Expected));
  else
    Faults_.add(Tree_.node(Location_.Node_).Offset_,
                {Kind, Location_.Pointer_, 0, 0, std::move(Expected), ""});
}

std::uint32_t ObjectReader::number(std::string_view Key,
                                   Range<std::uint32_t> Allowed) {
  const JsonTree::Member *Found = require(Key);
  if (Found == nullptr)
    return Allowed.Min_;
  const JsonTree::Content &Content = Tree_.node(Found->Value_).Content_;
  const auto Expected = [Allowed] {
    return "an integer from " + rangeText(Allowed);
  };
  const auto *Value = std::get_if<std::int64_t>(&Content);
  if (Value == nullptr) {
    reportMember(*Found, FaultKind::WrongType, Expected());
    return Allowed.Min_;
  }
  if (*Value < Allowed.Min_ || *Value > Allowed.Max_) {
    reportMember(*Found, FaultKind::OutOfRange, Expected());
    return Allowed.Min_;
  }
  return static_cast<std::uint32_t>(*Value);
}

double ObjectReader::decimal(std::string_view Key,
                             Range<std::uint32_t> Allowed) {
  const JsonTree::Member *Found = require(Key);
  if (Found == nullptr)
    return Allowed.Min_;
  const auto Expected = [Allowed] {
    return "a number from " + rangeText(Allowed) +
           " with at most three decimal places";
  };
  const JsonTree::Content &Content = Tree_.node(Found->Value_).Content_;
  double Value = 0;
  if (const auto *Integer = std::get_if<std::int64_t>(&Content)) {
    Value = static_cast<double>(*Integer);
  } else if (const auto *Fraction = std::get_if<double>(&Content)) {
    Value = *Fraction;
  } else {
    reportMember(*Found, FaultKind::WrongType, Expected());
    return Allowed.Min_;
  }
  // The negation also refuses a value that is not a number.
  if (!(Value >= Allowed.Min_ && Value <= Allowed.Max_)) {
    reportMember(*Found, FaultKind::OutOfRange, Expected());
    return Allowed.Min_;
  }
  // The JSON parser may be off by the last bits of a fraction; the nearest
  // thousandth is the same on every instance. The sign of -0 is dropped.
  constexpr double Scale = 1'000;
  constexpr double Tolerance = 1e-6;
  const double Thousandths = std::round(std::abs(Value) * Scale);
  if (std::abs(std::abs(Value) * Scale - Thousandths) > Tolerance)
    reportMember(*Found, FaultKind::OutOfRange, Expected());
  return Thousandths / Scale;
}

template <typename Description>
const std::string *ObjectReader::requireString(std::string_view Key,
                                               const Description &Expected) {
  const JsonTree::Member *Found = require(Key);
  if (Found == nullptr)
    return nullptr;
  const std::string *Text = stringValue(*Found);
  if (Text == nullptr)
    reportMember(*Found, FaultKind::WrongType, Expected());
  return Text;
}

Duration ObjectReader::duration(std::string_view Key, Range<Duration> Allowed) {
  const auto Expected = [Allowed] {
    return "an integer with the unit us, ms, s, m or h, from \"" +
           durationText(Allowed.Min_) + "\" to \"" +
           durationText(Allowed.Max_) + "\"";
  };
  const std::string *Text = requireString(Key, Expected);
  if (Text == nullptr)
    return Allowed.Min_;
  const auto Value = parseDuration(*Text);
  if (!Value) {
    report(Key, FaultKind::InvalidDuration, Expected());
    return Allowed.Min_;
  }
  if (*Value < Allowed.Min_ || *Value > Allowed.Max_) {
    report(Key, FaultKind::OutOfRange, Expected());
    return Allowed.Min_;
  }
  return *Value;
}

std::uint32_t ObjectReader::share(std::string_view Key) {
  constexpr std::uint32_t OneHundredPercent = 1'000'000;
  const auto Expected = [] {
    return std::string(
        "a percentage with at most four decimal places, above \"0%\" "
        "and below \"100%\", such as \"99.9%\"");
  };
  const std::string *Text = requireString(Key, Expected);
  if (Text == nullptr)
    return 0;
  const auto Value = parseShare(*Text);
  if (!Value) {
    report(Key, FaultKind::InvalidShare, Expected());
    return 0;
  }
  if (*Value == 0 || *Value == OneHundredPercent)
    report(Key, FaultKind::OutOfRange, Expected());
  return *Value;
}

std::string ObjectReader::name(std::string_view Key) {
  const auto Expected = [] {
    return "a name of 1 to " + std::to_string(MaxNameLength) +
           " lower-case letters, digits and hyphens, with no hyphen at "
           "either end";
  };
  const std::string *Text = requireString(Key, Expected);
  if (Text == nullptr)
    return {};
  if (!isName(*Text))
    report(Key, FaultKind::InvalidName, Expected());
  return *Text;
}

std::optional<std::string> ObjectReader::text(std::string_view Key) {
  const std::string *Text =
      requireString(Key, [] { return std::string("a string"); });
  if (Text == nullptr)
    return std::nullopt;
  return *Text;
}

bool ObjectReader::flag(std::string_view Key, std::optional<bool> Default) {
  const JsonTree::Member *Found = Default ? find(Key) : require(Key);
  if (Found == nullptr)
    return Default.value_or(false);
  const auto *Value = std::get_if<bool>(&Tree_.node(Found->Value_).Content_);
  if (Value != nullptr)
    return *Value;
  reportMember(*Found, FaultKind::WrongType, "true or false");
  return Default.value_or(false);
}

const std::string *
ObjectReader::stringValue(const JsonTree::Member &Member) const {
  return std::get_if<std::string>(&Tree_.node(Member.Value_).Content_);
}

std::vector<JsonLocation> ObjectReader::list(std::string_view Key,
                                             Range<std::size_t> AllowedCount) {
  const JsonTree::Member *Found =
      AllowedCount.Min_ == 0 ? find(Key) : require(Key);
  if (Found == nullptr)
    return {};
  const auto Expected = [AllowedCount] {
    return "an array of " + rangeText(AllowedCount) + " elements";
  };
  const auto *Elements =
      std::get_if<JsonTree::Array>(&Tree_.node(Found->Value_).Content_);
  if (Elements == nullptr) {
    reportMember(*Found, FaultKind::WrongType, Expected());
    return {};
  }
  if (Elements->size() < AllowedCount.Min_ ||
      Elements->size() > AllowedCount.Max_) {
    reportMember(*Found, FaultKind::WrongCount, Expected());
    return {};
  }
  std::vector<JsonLocation> Locations;
  const std::string Pointer = pointerTo(Key) + "/";
  for (const JsonNodeId Element : *Elements)
    Locations.push_back({Element, Pointer + std::to_string(Locations.size())});
  return Locations;
}

std::optional<JsonLocation> ObjectReader::object(std::string_view Key) {
  const JsonTree::Member *Found = require(Key);
  if (Found == nullptr)
    return std::nullopt;
  return JsonLocation{Found->Value_, pointerTo(Key)};
}

void ObjectReader::finish() {
  if (Members_ == nullptr)
    return;
  std::set<std::string_view> Seen;
  for (const JsonTree::Member &Each : *Members_) {
    if (!Seen.insert(Each.Key_).second)
      Faults_.add(Each.KeyOffset_,
                  {FaultKind::DoubledKey, pointerToUnexpected(Each.Key_), 0, 0,
                   "each key once", foundKey(Each.Key_, " again")});
    else if (std::find(RequestedKeys_.begin(), RequestedKeys_.end(),
                       Each.Key_) == RequestedKeys_.end())
      Faults_.add(Each.KeyOffset_,
                  {FaultKind::UnknownKey, pointerToUnexpected(Each.Key_), 0, 0,
                   requestedKeysText(), foundKey(Each.Key_, "")});
  }
}

std::string ObjectReader::requestedKeysText() const {
  std::vector<std::string_view> Sorted = RequestedKeys_;
  std::sort(Sorted.begin(), Sorted.end());
  std::string Keys = "one of the keys";
  for (const std::string_view Each : Sorted)
    Keys += " " + std::string(Each);
  return Keys;
}

} // namespace cranberryspool::document
