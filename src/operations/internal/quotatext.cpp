#include "operations/internal/quotatext.h"

#include "document/types/workspacequota.h"

#include <cstdio>

namespace cranberryspool::operations {

namespace {

/// Quotas have at most nine significant digits.
std::string numberText(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.9g", Value);
  return Text;
}

} // namespace

std::string quotaText(const document::WorkspaceQuota &Quota) {
  if (!Quota.isLimited())
    return "none";
  return numberText(Quota.RequestsPerSecond_) + " a second, burst " +
         numberText(Quota.Burst_);
}

} // namespace cranberryspool::operations
