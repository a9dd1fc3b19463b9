#ifndef CRANBERRYSPOOL_FRAMEWORK_IDS_H
#define CRANBERRYSPOOL_FRAMEWORK_IDS_H

#include "framework/strongid.h"

#include <cstdint>
#include <string>

namespace cranberryspool::framework {

/// Identifies one call of a caller within the instance that accepted it.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;

/// Identifies one attempt to run a call on one target. Unique until the
/// instance restarts.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;

/// Identifies one transport connection to a target. Unique until the instance
/// restarts.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

/// Identifies one health probe of a target. Unique until the instance restarts.
using ProbeId = StrongId<struct ProbeIdTag, std::uint64_t>;

/// A consecutive number that an instance assigns to a target name. Valid only
/// within that instance; never reused.
using TargetId = StrongId<struct TargetIdTag, std::uint32_t>;

/// A consecutive number that an instance assigns to a service name.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;

/// A consecutive number that an instance assigns to the name of an availability
/// zone.
using ZoneId = StrongId<struct ZoneIdTag, std::uint32_t>;

/// A consecutive number that an instance assigns to the name of a workspace.
using WorkspaceId = StrongId<struct WorkspaceIdTag, std::uint32_t>;

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using KindName = StrongId<struct KindNameTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
using GroupName = StrongId<struct GroupNameTag, std::string>;
using TargetName = StrongId<struct TargetNameTag, std::string>;
using InstanceName = StrongId<struct InstanceNameTag, std::string>;
using WorkspaceName = StrongId<struct WorkspaceNameTag, std::string>;

/// The key that a caller sends with every repetition of the same call, so that
/// duplicates are detected.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// Identifies one run of a target or an instance: it changes at every restart.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// The version of a value that the platform publishes; a higher one is newer.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// A 64-bit hash of some content.
using Digest = StrongId<struct DigestTag, std::uint64_t>;

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_IDS_H
