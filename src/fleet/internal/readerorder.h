#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_READERORDER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_READERORDER_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The order in which the instances take on the reading of the platform,
/// worked out alike by all from the published list, without an election. Zones
/// take turns, so that the first readers stand in different zones.
class ReaderOrder {
public:
  ReaderOrder() = default;
  explicit ReaderOrder(const std::vector<document::PublishedInstance> &Members);

  /// How many instances read while all is well.
  std::size_t readerCount() const;
  /// Returns the place of an instance; the number of instances for one that is
  /// not in the list.
  std::size_t position(const framework::InstanceName &Name) const;
  const std::vector<framework::InstanceName> &names() const { return Names_; }

private:
  std::vector<framework::InstanceName> Names_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_READERORDER_H
