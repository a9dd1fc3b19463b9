#include "entry/internal/answerfields.h"

#include "entry/internal/fieldtext.h"
#include "protocol/headers.h"

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

void readAnswerFields(const std::vector<HeaderField> &Fields,
                      decision::AttemptAnswered &Event) {
  for (const HeaderField &Field : Fields) {
    if (isSameField(Field.Name_, protocol::AttemptIdHeader)) {
      // An unreadable echo is a wrong one: no attempt has the number 0.
      Event.EchoedAttempt_ =
          framework::AttemptId(parseCount(trimmed(Field.Value_)).value_or(0));
    } else if (isSameField(Field.Name_, protocol::NotRunHeader)) {
      Event.IsNotRun_ = isSameField(trimmed(Field.Value_), "true");
    } else if (isSameField(Field.Name_, protocol::StartIdHeader)) {
      Event.StartId_ = readStartId(Field.Value_);
    } else if (isSameField(Field.Name_, protocol::LoadReportHeader)) {
      Event.Report_ = readLoadReport(Field.Value_);
    }
  }
}

} // namespace cranberryspool::entry
