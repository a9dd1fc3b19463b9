#ifndef CRANBERRYSPOOL_SESSION_TYPES_ENVIRONMENTSETUP_H
#define CRANBERRYSPOOL_SESSION_TYPES_ENVIRONMENTSETUP_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <string>
#include <vector>

namespace cranberryspool::session {

/// Where a session takes place.
struct EnvironmentSetup {
  /// The instance whose core is driven.
  framework::InstanceName Self_;
  framework::ZoneName Zone_;
  std::string PeerAddress_;
  /// JSON text of the environment document.
  std::string Document_;
  std::vector<document::PublishedInstance> Instances_;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_ENVIRONMENTSETUP_H
