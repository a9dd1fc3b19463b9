#include "entry/internal/callfields.h"

#include "entry/internal/fieldtext.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>

namespace cranberryspool::entry {

namespace {

using framework::Result;

constexpr std::size_t LongestKey = 255;
constexpr std::uint64_t LongestTimeoutMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t HighestCount = 1000;

constexpr std::array<std::string_view, 10> HopByHop = {
    "Connection", "Keep-Alive", "Proxy-Connection",    "Proxy-Authenticate",
    "TE",         "Trailer",    "Proxy-Authorization", "Transfer-Encoding",
    "Upgrade",    "Expect"};

std::optional<document::Urgency> readUrgency(std::string_view Value) {
  std::optional<document::Urgency> Urgency;
  for (const std::string_view Item : splitList(Value)) {
    if (!Item.starts_with("u=") || Item.size() < 3)
      continue;
    const char Level = Item[2];
    const bool IsEnded = Item.size() == 3 || Item[3] == ';';
    if (!IsEnded || Level < '0' || Level > '7')
      continue;
    Urgency =
        Level <= '2' ? document::Urgency::Urgent : document::Urgency::Ordinary;
  }
  return Urgency;
}

/// The key as a structured string (RFC 8941) or bare.
std::optional<framework::IdempotencyKey> readKey(std::string_view Value) {
  if (Value.size() >= 2 && Value.starts_with('"') && Value.ends_with('"'))
    Value = Value.substr(1, Value.size() - 2);
  if (Value.empty() || Value.size() > LongestKey ||
      Value.find('"') != std::string_view::npos)
    return std::nullopt;
  return framework::IdempotencyKey(std::string(Value));
}

Result<std::uint32_t, HeadFault>
readCountIn(std::string_view Value, std::uint64_t Lowest, HeadFault Fault) {
  const std::optional<std::uint64_t> Count = parseCount(Value);
  if (!Count || *Count < Lowest || *Count > HighestCount)
    return Fault;
  return static_cast<std::uint32_t>(*Count);
}

/// True for the field of that name; a dialect leaves out what it does not speak
/// by an empty name.
bool isSpoken(const HeaderField &Field, std::string_view Name) {
  return !Name.empty() && isSameField(Field.Name_, Name);
}

Result<void, HeadFault> readField(const HeaderField &Field,
                                  const HttpProfile &Spoken, CallHead &Head) {
  const std::string_view Value = trimmed(Field.Value_);
  if (isSpoken(Field, Spoken.UrgencyField_)) {
    if (const auto Urgency = readUrgency(Value))
      Head.Urgency_ = Urgency;
  } else if (isSpoken(Field, Spoken.TimeoutField_)) {
    const std::optional<std::uint64_t> Count = parseCount(Value);
    if (!Count || *Count == 0 || *Count > LongestTimeoutMs || Head.Timeout_)
      return HeadFault::Timeout;
    Head.Timeout_ = std::chrono::milliseconds(*Count);
  } else if (isSpoken(Field, Spoken.KeyField_)) {
    const auto Key = readKey(Value);
    if (!Key || Head.Key_)
      return HeadFault::Key;
    Head.Key_ = Key;
  } else if (isSpoken(Field, Spoken.DepthField_)) {
    BOOST_OUTCOME_TRY(Head.Depth_, readCountIn(Value, 0, HeadFault::Depth));
  } else if (isSpoken(Field, Spoken.RepeatField_)) {
    BOOST_OUTCOME_TRY(Head.Attempt_, readCountIn(Value, 1, HeadFault::Attempt));
  } else if (isSpoken(Field, Spoken.AttemptIdField_)) {
    Head.AttemptId_ = std::string(Value);
  }
  return framework::success();
}

bool isOneOf(std::string_view Name,
             std::initializer_list<std::string_view> Names) {
  return std::any_of(Names.begin(), Names.end(), [Name](std::string_view One) {
    return !One.empty() && isSameField(Name, One);
  });
}

bool isHopByHop(std::string_view Name) {
  return std::any_of(
      HopByHop.begin(), HopByHop.end(),
      [Name](std::string_view One) { return isSameField(Name, One); });
}

/// Tells whether a `Connection` field names the field.
bool isNamedByConnection(const std::vector<HeaderField> &Fields,
                         std::string_view Name) {
  for (const HeaderField &Field : Fields) {
    if (!isSameField(Field.Name_, "Connection"))
      continue;
    for (const std::string_view Item : splitList(Field.Value_)) {
      if (isSameField(Item, Name))
        return true;
    }
  }
  return false;
}

std::vector<HeaderField>
forwardableFields(const std::vector<HeaderField> &Fields,
                  std::initializer_list<std::string_view> Own) {
  std::vector<HeaderField> Kept;
  Kept.reserve(Fields.size());
  for (const HeaderField &Field : Fields) {
    if (isHopByHop(Field.Name_) || isOneOf(Field.Name_, Own) ||
        isNamedByConnection(Fields, Field.Name_))
      continue;
    Kept.push_back(Field);
  }
  return Kept;
}

} // namespace

Result<CallHead, HeadFault>
readCallFields(const std::vector<HeaderField> &Fields,
               const HttpProfile &Spoken) {
  CallHead Head;
  for (const HeaderField &Field : Fields) {
    BOOST_OUTCOME_TRY(readField(Field, Spoken, Head));
  }
  return Head;
}

std::vector<HeaderField>
forwardableRequestFields(const std::vector<HeaderField> &Fields,
                         const HttpProfile &Spoken) {
  return forwardableFields(
      Fields,
      {"Content-Length", Spoken.TimeoutField_, Spoken.DepthField_,
       Spoken.RepeatField_, Spoken.AttemptIdField_, Spoken.ExpectedTargetField_,
       Spoken.NotRunField_, Spoken.StartIdField_, Spoken.LoadReportField_,
       Spoken.EndingField_, Spoken.EndingReasonField_});
}

std::vector<HeaderField>
forwardableAnswerFields(const std::vector<HeaderField> &Fields,
                        const HttpProfile &Spoken) {
  const std::string_view OwnAttemptId = Spoken.IsCallerAttemptIdUsed_
                                            ? std::string_view()
                                            : Spoken.AttemptIdField_;
  return forwardableFields(Fields,
                           {OwnAttemptId, Spoken.NotRunField_,
                            Spoken.StartIdField_, Spoken.LoadReportField_,
                            Spoken.EndingField_, Spoken.EndingReasonField_});
}

} // namespace cranberryspool::entry
