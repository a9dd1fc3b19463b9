#ifndef CRANBERRYSPOOL_SESSION_ENVIRONMENTFILE_H
#define CRANBERRYSPOOL_SESSION_ENVIRONMENTFILE_H

#include "framework/result.h"
#include "session/types/environmentsetup.h"
#include "session/types/sessionerror.h"

#include <string_view>

namespace cranberryspool::session {

/// Parses an environment file: a JSON object with the members `self` (the name
/// of the instance under test), `document` (the environment document itself)
/// and `instances`. Each instance has the members `name`, `zone`, `address`
/// and, if it is a target, `group`.
framework::Result<EnvironmentSetup, SessionError>
parseEnvironmentSetup(std::string_view Text);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_ENVIRONMENTFILE_H
