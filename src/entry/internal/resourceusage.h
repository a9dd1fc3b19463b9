#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_RESOURCEUSAGE_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_RESOURCEUSAGE_H

#include <cstddef>
#include <cstdint>

namespace cranberryspool::entry {

/// The memory in use by the I/O workers of an instance, and the log lines
/// dropped so far.
struct ResourceUsage {
  std::size_t RequestBytes_ = 0;
  std::size_t ResponseBytes_ = 0;
  std::size_t InputBytes_ = 0;
  std::size_t StoredResponseBytes_ = 0;
  std::uint64_t LogLinesDropped_ = 0;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_RESOURCEUSAGE_H
