#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_INSTANCESTATUS_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_INSTANCESTATUS_H

#include <string>
#include <vector>

namespace cranberryspool::operations {

/// The displayed members of the status of an instance; absent ones are `-`.
struct InstanceStatus {
  struct Table {
    /// Name of the status member that contains the rows, such as `targets`.
    std::string Name_;
    std::vector<std::string> Columns_;
    std::vector<std::vector<std::string>> Rows_;
  };

  std::string Address_;
  std::string Instance_;
  std::string Zone_;
  std::string Revision_;
  std::string Digest_;
  std::string Ready_;
  std::vector<Table> Tables_;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_INSTANCESTATUS_H
