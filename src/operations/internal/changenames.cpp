#include "operations/types/changeconcern.h"
#include "operations/types/changeeffect.h"

namespace cranberryspool::operations {

std::string_view concernName(ChangeConcern Concern) {
  switch (Concern) {
  case ChangeConcern::Zones:
    return "zones";
  case ChangeConcern::Targets:
    return "targets";
  case ChangeConcern::Calls:
    return "calls";
  case ChangeConcern::Objectives:
    return "objectives";
  case ChangeConcern::Instances:
    return "instances";
  }
  return "";
}

std::string_view effectText(ChangeEffect Effect) {
  switch (Effect) {
  case ChangeEffect::None:
    return "";
  case ChangeEffect::StopsNewWork:
    return "its targets get no new work";
  case ChangeEffect::StartsNewWork:
    return "its targets get work";
  case ChangeEffect::RefusesCalls:
    return "such calls are refused";
  case ChangeEffect::AcceptsCalls:
    return "such calls are taken";
  case ChangeEffect::AllowsRepeats:
    return "such calls may run more than once";
  case ChangeEffect::LeavesServiceWithoutZone:
    return "no target of the service gets work";
  }
  return "";
}

} // namespace cranberryspool::operations
