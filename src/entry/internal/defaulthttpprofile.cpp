#include "entry/defaulthttpprofile.h"

#include "entry/internal/responsefields.h"
#include "protocol/headers.h"

namespace cranberryspool::entry {

HttpProfile defaultHttpProfile() {
  HttpProfile Profile;
  Profile.UrgencyField_ = protocol::PriorityHeader;
  Profile.IdempotencyKeyField_ = protocol::IdempotencyKeyHeader;
  Profile.TimeoutField_ = protocol::TimeoutHeader;
  Profile.DepthField_ = protocol::DepthHeader;
  Profile.AttemptNumberField_ = protocol::AttemptHeader;
  Profile.AttemptIdField_ = protocol::AttemptIdHeader;
  Profile.NotRunField_ = protocol::NotRunHeader;
  Profile.NotRunValue_ = "true";
  Profile.StartIdField_ = protocol::StartIdHeader;
  Profile.LoadReportField_ = protocol::LoadReportHeader;
  Profile.ReadLoadReport_ = readLoadReport;
  Profile.AuthorizationField_ = protocol::AuthorizationHeader;
  Profile.WorkspaceField_ = protocol::WorkspaceHeader;
  Profile.ProbePath_ = "/_load";
  Profile.EndingField_ = protocol::EndingHeader;
  Profile.EndingReasonField_ = protocol::EndingReasonHeader;
  return Profile;
}

} // namespace cranberryspool::entry
