#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SEEDSCHANGED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SEEDSCHANGED_H

#include <string>
#include <vector>

namespace cranberryspool::decision {

/// The settings name other seeds.
struct SeedsChanged {
  /// `IP:port` of peer messages.
  std::vector<std::string> Addresses_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SEEDSCHANGED_H
