#ifndef CRANBERRYSPOOL_FLEET_TYPES_SECTIONKIND_H
#define CRANBERRYSPOOL_FLEET_TYPES_SECTIONKIND_H

namespace cranberryspool::fleet {

/// The kinds of values that the platform publishes and instances pass on to
/// their peers.
enum class SectionKind { Document, Instances };

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_SECTIONKIND_H
