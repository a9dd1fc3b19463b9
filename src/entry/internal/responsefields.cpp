#include "entry/internal/responsefields.h"

#include "entry/internal/fieldtext.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <xxhash.h>

namespace cranberryspool::entry {

namespace {

std::uint32_t readCount(const boost::json::object &Object,
                        std::string_view Name) {
  const boost::json::value *Member = Object.if_contains(Name);
  if (!Member || !Member->is_int64() || Member->get_int64() < 0 ||
      Member->get_int64() > std::numeric_limits<std::uint32_t>::max())
    return 0;
  return static_cast<std::uint32_t>(Member->get_int64());
}

bool readFlag(const boost::json::object &Object, std::string_view Name) {
  const boost::json::value *Member = Object.if_contains(Name);
  return Member && Member->is_bool() && Member->get_bool();
}

} // namespace

std::optional<routing::LoadReport> readLoadReport(std::string_view Text) {
  boost::json::error_code Error;
  const boost::json::value Parsed = boost::json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  const boost::json::object &Object = Parsed.get_object();
  routing::LoadReport Report;
  Report.InFlight_ = readCount(Object, "inflight");
  Report.Queued_ = readCount(Object, "queued");
  Report.Slots_ = readCount(Object, "slots");
  Report.IsCold_ = readFlag(Object, "cold");
  Report.IsDraining_ = readFlag(Object, "draining");
  return Report;
}

framework::Incarnation readStartId(std::string_view Text) {
  const std::string_view Trimmed = trimmed(Text);
  if (const auto Number = parseUnsigned(Trimmed))
    return framework::Incarnation(*Number);
  return framework::Incarnation(XXH3_64bits(Trimmed.data(), Trimmed.size()));
}

ResponseMetadata readResponseFields(const std::vector<HeaderField> &Fields,
                                    const HttpProfile &Profile) {
  ResponseMetadata Metadata;
  for (const HeaderField &Field : Fields) {
    const auto IsNamed = [&](const std::string &Name) {
      return !Name.empty() && equalsIgnoreCase(Field.Name_, Name);
    };
    const std::string_view Value = trimmed(Field.Value_);
    if (IsNamed(Profile.AttemptIdField_))
      Metadata.AttemptId_ = std::string(Value);
    else if (IsNamed(Profile.NotRunField_))
      Metadata.IsNotRun_ = Profile.NotRunValue_.empty() ||
                           equalsIgnoreCase(Value, Profile.NotRunValue_);
    else if (IsNamed(Profile.StartIdField_))
      Metadata.StartId_ = readStartId(Value);
    else if (IsNamed(Profile.LoadReportField_))
      Metadata.Report_ = Profile.ReadLoadReport_(Value);
    else if (IsNamed(Profile.TargetIdField_))
      Metadata.TargetId_ = std::string(Value);
    else if (IsNamed(Profile.SignatureField_))
      Metadata.HasSignature_ = true;
    else if (equalsIgnoreCase(Field.Name_, "Content-Encoding"))
      Metadata.IsEncoded_ = true;
    else if (IsNamed(Profile.WarmupField_))
      Metadata.WarmupMs_ = parseUnsigned(Value);
    else if (IsNamed(Profile.RequestLimitField_)) {
      Metadata.RequestLimit_ = parseRequestRate(Value);
      Metadata.IsRequestLimitInvalid_ = !Metadata.RequestLimit_;
    }
  }
  return Metadata;
}

std::optional<routing::RequestRate>
statedRequestLimit(const ResponseMetadata &Metadata,
                   const HttpProfile &Profile) {
  if (Metadata.RequestLimit_ || Metadata.IsRequestLimitInvalid_ ||
      Profile.RequestLimitField_.empty())
    return Metadata.RequestLimit_;
  return routing::RequestRate::unlimited();
}

} // namespace cranberryspool::entry
