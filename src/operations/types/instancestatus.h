#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_INSTANCESTATUS_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_INSTANCESTATUS_H

#include <string>
#include <vector>

namespace cranberryspool::operations {

/// The members of an instance's status as they are shown; `-` when absent.
struct InstanceStatus {
  struct Table {
    /// The member of the status, such as `targets`.
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
