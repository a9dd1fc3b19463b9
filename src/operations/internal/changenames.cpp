#include "operations/types/changecategory.h"
#include "operations/types/changeeffect.h"

namespace cranberryspool::operations {

std::string_view categoryName(ChangeCategory Category) {
  switch (Category) {
  case ChangeCategory::Zones:
    return "zones";
  case ChangeCategory::Targets:
    return "targets";
  case ChangeCategory::Calls:
    return "calls";
  case ChangeCategory::Workspaces:
    return "workspaces";
  case ChangeCategory::Objectives:
    return "objectives";
  case ChangeCategory::Instances:
    return "instances";
  }
  return "";
}

std::string_view effectText(ChangeEffect Effect) {
  switch (Effect) {
  case ChangeEffect::None:
    return "";
  case ChangeEffect::StopsNewCalls:
    return "its targets get no new work";
  case ChangeEffect::StartsNewCalls:
    return "its targets get work";
  case ChangeEffect::RefusesCalls:
    return "such calls are refused";
  case ChangeEffect::AcceptsCalls:
    return "such calls are taken";
  case ChangeEffect::AllowsRepeatedExecution:
    return "such calls may run more than once";
  case ChangeEffect::LeavesServiceWithoutZone:
    return "no target of the service gets work";
  case ChangeEffect::AcceptsKeys:
    return "requests with the added keys are served";
  case ChangeEffect::RefusesKeys:
    return "requests with the removed keys are refused";
  case ChangeEffect::ServesWithoutKey:
    return "requests without a key are served";
  case ChangeEffect::RequiresKey:
    return "requests without a key are refused";
  }
  return "";
}

} // namespace cranberryspool::operations
