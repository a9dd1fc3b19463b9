#include "entry/internal/callfields.h"

#include "entry/internal/fieldtext.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>

namespace cranberryspool::entry {

namespace {

using framework::Result;

constexpr std::size_t MaxKeyLength = 255;
constexpr std::uint64_t MaxTimeoutMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t MaxCount = 1000;

constexpr std::array<std::string_view, 10> HopByHopFields = {
    "Connection", "Keep-Alive", "Proxy-Connection",    "Proxy-Authenticate",
    "TE",         "Trailer",    "Proxy-Authorization", "Transfer-Encoding",
    "Upgrade",    "Expect"};

std::optional<document::Urgency> readUrgency(std::string_view Value) {
  std::optional<document::Urgency> Urgency;
  for (const std::string_view Item : splitList(Value)) {
    if (!Item.starts_with("u=") || Item.size() < 3)
      continue;
    const char UrgencyLevel = Item[2];
    const bool HasLevelEnded = Item.size() == 3 || Item[3] == ';';
    if (!HasLevelEnded || UrgencyLevel < '0' || UrgencyLevel > '7')
      continue;
    Urgency = UrgencyLevel <= '2' ? document::Urgency::Urgent
                                  : document::Urgency::Ordinary;
  }
  return Urgency;
}

/// Reads an idempotency key, either a structured-field string (RFC 8941) or
/// bare text.
std::optional<framework::IdempotencyKey> readKey(std::string_view Value) {
  if (Value.size() >= 2 && Value.starts_with('"') && Value.ends_with('"'))
    Value = Value.substr(1, Value.size() - 2);
  if (Value.empty() || Value.size() > MaxKeyLength ||
      Value.find('"') != std::string_view::npos)
    return std::nullopt;
  return framework::IdempotencyKey(std::string(Value));
}

Result<std::uint32_t, RequestHeadError>
readBoundedCount(std::string_view Value, std::uint64_t Min,
                 RequestHeadError Error) {
  const std::optional<std::uint64_t> Count = parseUnsigned(Value);
  if (!Count || *Count < Min || *Count > MaxCount)
    return Error;
  return static_cast<std::uint32_t>(*Count);
}

/// Tells whether the field has the given name. An empty name, by which a
/// profile marks a field as unused, matches none.
bool isFieldNamed(const HeaderField &Field, std::string_view Name) {
  return !Name.empty() && equalsIgnoreCase(Field.Name_, Name);
}

Result<void, RequestHeadError> readField(const HeaderField &Field,
                                         const HttpProfile &Profile,
                                         CallMetadata &Metadata) {
  const std::string_view Value = trimmed(Field.Value_);
  if (isFieldNamed(Field, Profile.UrgencyField_)) {
    if (const auto Urgency = readUrgency(Value))
      Metadata.Urgency_ = Urgency;
  } else if (isFieldNamed(Field, Profile.TimeoutField_)) {
    const std::optional<std::uint64_t> Count = parseUnsigned(Value);
    if (!Count || *Count == 0 || *Count > MaxTimeoutMs || Metadata.Timeout_)
      return RequestHeadError::Timeout;
    Metadata.Timeout_ = std::chrono::milliseconds(*Count);
  } else if (isFieldNamed(Field, Profile.IdempotencyKeyField_)) {
    const auto Key = readKey(Value);
    if (!Key || Metadata.Key_)
      return RequestHeadError::Key;
    Metadata.Key_ = Key;
  } else if (isFieldNamed(Field, Profile.DepthField_)) {
    BOOST_OUTCOME_TRY(Metadata.Depth_,
                      readBoundedCount(Value, 0, RequestHeadError::Depth));
  } else if (isFieldNamed(Field, Profile.AttemptNumberField_)) {
    BOOST_OUTCOME_TRY(Metadata.Attempt_,
                      readBoundedCount(Value, 1, RequestHeadError::Attempt));
  } else if (isFieldNamed(Field, Profile.AttemptIdField_)) {
    Metadata.AttemptId_ = std::string(Value);
  }
  return framework::success();
}

bool isOneOf(std::string_view Name,
             std::initializer_list<std::string_view> Names) {
  return std::any_of(
      Names.begin(), Names.end(), [Name](std::string_view Candidate) {
        return !Candidate.empty() && equalsIgnoreCase(Name, Candidate);
      });
}

bool isHopByHop(std::string_view Name) {
  return std::any_of(HopByHopFields.begin(), HopByHopFields.end(),
                     [Name](std::string_view Candidate) {
                       return equalsIgnoreCase(Name, Candidate);
                     });
}

/// Tells whether a `Connection` field lists the field name.
bool isNamedByConnection(const std::vector<HeaderField> &Fields,
                         std::string_view Name) {
  for (const HeaderField &Field : Fields) {
    if (!equalsIgnoreCase(Field.Name_, "Connection"))
      continue;
    for (const std::string_view Item : splitList(Field.Value_)) {
      if (equalsIgnoreCase(Item, Name))
        return true;
    }
  }
  return false;
}

std::vector<HeaderField>
forwardableFields(const std::vector<HeaderField> &Fields,
                  std::initializer_list<std::string_view> OwnFields) {
  std::vector<HeaderField> Forwarded;
  Forwarded.reserve(Fields.size());
  for (const HeaderField &Field : Fields) {
    if (isHopByHop(Field.Name_) || isOneOf(Field.Name_, OwnFields) ||
        isNamedByConnection(Fields, Field.Name_))
      continue;
    Forwarded.push_back(Field);
  }
  return Forwarded;
}

} // namespace

Result<CallMetadata, RequestHeadError>
readCallFields(const std::vector<HeaderField> &Fields,
               const HttpProfile &Profile) {
  CallMetadata Metadata;
  for (const HeaderField &Field : Fields) {
    BOOST_OUTCOME_TRY(readField(Field, Profile, Metadata));
  }
  return Metadata;
}

std::vector<HeaderField>
forwardableRequestFields(const std::vector<HeaderField> &Fields,
                         const HttpProfile &Profile) {
  return forwardableFields(
      Fields, {"Content-Length", Profile.TimeoutField_, Profile.DepthField_,
               Profile.AttemptNumberField_, Profile.AttemptIdField_,
               Profile.ExpectedTargetField_, Profile.NotRunField_,
               Profile.StartIdField_, Profile.LoadReportField_,
               Profile.EndingField_, Profile.EndingReasonField_});
}

std::vector<HeaderField>
forwardableResponseFields(const std::vector<HeaderField> &Fields,
                          const HttpProfile &Profile) {
  const std::string_view OwnAttemptIdField = Profile.IsCallerAttemptIdUsed_
                                                 ? std::string_view()
                                                 : Profile.AttemptIdField_;
  return forwardableFields(Fields,
                           {OwnAttemptIdField, Profile.NotRunField_,
                            Profile.StartIdField_, Profile.LoadReportField_,
                            Profile.EndingField_, Profile.EndingReasonField_});
}

} // namespace cranberryspool::entry
