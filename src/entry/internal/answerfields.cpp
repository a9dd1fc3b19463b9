#include "entry/internal/answerfields.h"

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
  const std::string_view Bare = trimmed(Text);
  if (const auto Number = parseCount(Bare))
    return framework::Incarnation(*Number);
  return framework::Incarnation(XXH3_64bits(Bare.data(), Bare.size()));
}

AnswerHead readAnswerFields(const std::vector<HeaderField> &Fields,
                            const HttpProfile &Spoken) {
  AnswerHead Head;
  for (const HeaderField &Field : Fields) {
    const auto Is = [&](const std::string &Name) {
      return !Name.empty() && isSameField(Field.Name_, Name);
    };
    const std::string_view Value = trimmed(Field.Value_);
    if (Is(Spoken.AttemptIdField_))
      Head.AttemptId_ = std::string(Value);
    else if (Is(Spoken.NotRunField_))
      Head.IsNotRun_ = Spoken.NotRunValue_.empty() ||
                       isSameField(Value, Spoken.NotRunValue_);
    else if (Is(Spoken.StartIdField_))
      Head.StartId_ = readStartId(Value);
    else if (Is(Spoken.LoadReportField_))
      Head.Report_ = Spoken.ReadLoadReport_(Value);
    else if (Is(Spoken.TargetIdField_))
      Head.TargetId_ = std::string(Value);
    else if (Is(Spoken.SignatureField_))
      Head.HasProof_ = true;
    else if (isSameField(Field.Name_, "Content-Encoding"))
      Head.IsEncoded_ = true;
    else if (Is(Spoken.WarmupField_))
      Head.WarmupMs_ = parseCount(Value);
  }
  return Head;
}

} // namespace cranberryspool::entry
