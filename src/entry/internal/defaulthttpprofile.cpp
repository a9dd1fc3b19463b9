#include "entry/defaulthttpprofile.h"

#include "entry/internal/answerfields.h"
#include "protocol/headers.h"

namespace cranberryspool::entry {

HttpProfile defaultHttpProfile() {
  HttpProfile Own;
  Own.UrgencyField_ = protocol::PriorityHeader;
  Own.KeyField_ = protocol::IdempotencyKeyHeader;
  Own.TimeoutField_ = protocol::TimeoutHeader;
  Own.DepthField_ = protocol::DepthHeader;
  Own.RepeatField_ = protocol::AttemptHeader;
  Own.AttemptIdField_ = protocol::AttemptIdHeader;
  Own.NotRunField_ = protocol::NotRunHeader;
  Own.NotRunValue_ = "true";
  Own.StartIdField_ = protocol::StartIdHeader;
  Own.LoadReportField_ = protocol::LoadReportHeader;
  Own.ReadLoadReport_ = readLoadReport;
  Own.ProbePath_ = "/_load";
  Own.EndingField_ = protocol::EndingHeader;
  Own.EndingReasonField_ = protocol::EndingReasonHeader;
  return Own;
}

} // namespace cranberryspool::entry
