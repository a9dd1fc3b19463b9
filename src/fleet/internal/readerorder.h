#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_READERORDER_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_READERORDER_H

#include "document/types/publishedinstance.h"
#include "framework/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// The order in which instances become readers of the platform. All instances
/// compute the same order from the published list, without an election. Zones
/// alternate, so that the first readers are in different zones.
class ReaderOrder {
public:
  ReaderOrder() = default;
  explicit ReaderOrder(const std::vector<document::PublishedInstance> &Members);

  /// Returns how many instances read the platform in normal operation.
  std::size_t readerCount() const;
  /// Returns the position of an instance in the order; the number of instances
  /// if it is not listed.
  std::size_t position(const framework::InstanceName &Name) const;
  const std::vector<framework::InstanceName> &names() const { return Names_; }

private:
  std::vector<framework::InstanceName> Names_;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_READERORDER_H
