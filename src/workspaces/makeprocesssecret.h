#ifndef CRANBERRYSPOOL_WORKSPACES_MAKEPROCESSSECRET_H
#define CRANBERRYSPOOL_WORKSPACES_MAKEPROCESSSECRET_H

#include "workspaces/types/processsecret.h"

namespace cranberryspool::workspaces {

/// Draws a secret from the random number generator of OpenSSL. Aborts the
/// process when the generator fails, because an index with a known secret could
/// be probed.
ProcessSecret makeProcessSecret();

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_MAKEPROCESSSECRET_H
