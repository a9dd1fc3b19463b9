#ifndef CRANBERRYSPOOL_FRAMEWORK_IDS_H
#define CRANBERRYSPOOL_FRAMEWORK_IDS_H

#include "framework/strongid.h"

#include <cstdint>
#include <string>

namespace cranberryspool::framework {

/// One call of a caller, numbered by the instance that accepted it.
using CallId = StrongId<struct CallIdTag, std::uint64_t>;

/// One try of a call at one target. Unique in the life of an instance.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;

/// One transport connection to a target. Unique in the life of an instance.
using ConnectionId = StrongId<struct ConnectionIdTag, std::uint64_t>;

/// One probe of a target. Unique in the life of an instance.
using ProbeId = StrongId<struct ProbeIdTag, std::uint64_t>;

/// The dense number that an instance gives a target name; valid in that
/// instance only and never reused.
using TargetId = StrongId<struct TargetIdTag, std::uint32_t>;

/// The dense number that an instance gives a service name.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;

/// The dense number that an instance gives the name of an availability zone.
using ZoneId = StrongId<struct ZoneIdTag, std::uint32_t>;

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using KindName = StrongId<struct KindNameTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
using GroupName = StrongId<struct GroupNameTag, std::string>;
using TargetName = StrongId<struct TargetNameTag, std::string>;
using InstanceName = StrongId<struct InstanceNameTag, std::string>;

/// The key by which a caller makes repeats of one call recognisable.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// Changes each time a target or an instance starts.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// The order of the platform's published values; a higher one is newer.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// A 64-bit content hash.
using Digest = StrongId<struct DigestTag, std::uint64_t>;

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_IDS_H
