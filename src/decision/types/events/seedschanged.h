#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SEEDSCHANGED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SEEDSCHANGED_H

#include <string>
#include <vector>

namespace cranberryspool::decision {

/// The addresses of the seeds in the settings have changed.
struct SeedsChanged {
  /// The `IP:port` addresses for peer messages.
  std::vector<std::string> Addresses_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_SEEDSCHANGED_H
