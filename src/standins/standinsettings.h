#ifndef CRANBERRYSPOOL_STANDINS_STANDINSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_STANDINSETTINGS_H

#include "framework/result.h"
#include "standins/callersettings.h"
#include "standins/deploymentsettings.h"
#include "standins/settingsfailure.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::standins {

/// The parts that a stand-in process plays.
struct StandinSettings {
  std::string ControlAddress_;
  std::optional<DeploymentSettings> Deployment_;
  std::optional<CallerSettings> Callers_;
};

/// Reads the settings of a stand-in process: JSON with comments.
framework::Result<StandinSettings, SettingsFailure>
parseStandinSettings(std::string_view Text);

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_STANDINSETTINGS_H
