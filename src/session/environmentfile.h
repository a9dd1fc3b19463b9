#ifndef CRANBERRYSPOOL_SESSION_ENVIRONMENTFILE_H
#define CRANBERRYSPOOL_SESSION_ENVIRONMENTFILE_H

#include "framework/result.h"
#include "session/types/environmentsetup.h"
#include "session/types/sessionerror.h"

#include <string_view>

namespace cranberryspool::session {

/// Reads where a session takes place: a JSON object with the members `self`,
/// `document` (the environment document itself) and `instances`, each of which
/// has `name`, `zone`, `address` and, for a target, `group`.
framework::Result<EnvironmentSetup, SessionError>
parseEnvironmentSetup(std::string_view Text);

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_ENVIRONMENTFILE_H
