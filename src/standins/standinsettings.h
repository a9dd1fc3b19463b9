#ifndef CRANBERRYSPOOL_STANDINS_STANDINSETTINGS_H
#define CRANBERRYSPOOL_STANDINS_STANDINSETTINGS_H

#include "framework/result.h"
#include "standins/callersettings.h"
#include "standins/deploymentsettings.h"
#include "standins/settingserror.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryspool::standins {

/// The settings of a stand-in process, which simulates a deployment, callers or
/// both.
struct StandinSettings {
  std::string ControlAddress_;
  std::optional<DeploymentSettings> Deployment_;
  std::optional<CallerSettings> Callers_;
};

/// Parses the settings of a stand-in process, written as JSON with comments.
framework::Result<StandinSettings, SettingsError>
parseStandinSettings(std::string_view Text);

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_STANDINSETTINGS_H
