#ifndef CRANBERRYSPOOL_SESSION_TYPES_ENVIRONMENTSETUP_H
#define CRANBERRYSPOOL_SESSION_TYPES_ENVIRONMENTSETUP_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <string>
#include <vector>

namespace cranberryspool::session {

/// The fleet and the environment document that a session starts with.
struct EnvironmentSetup {
  /// The instance whose core is under test.
  framework::InstanceName Self_;
  /// The availability zone of the instance under test.
  framework::ZoneName Zone_;
  /// The address under which other instances reach the instance under test.
  std::string PeerAddress_;
  /// The JSON text of the environment document.
  std::string Document_;
  /// The entry instances and the targets that the platform publishes.
  std::vector<document::PublishedInstance> Instances_;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_TYPES_ENVIRONMENTSETUP_H
