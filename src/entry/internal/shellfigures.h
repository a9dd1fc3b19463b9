#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_SHELLFIGURES_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_SHELLFIGURES_H

#include <cstddef>
#include <cstdint>

namespace cranberryspool::entry {

/// What the shells of an instance hold now.
struct ShellFigures {
  std::size_t RequestBytes_ = 0;
  std::size_t AnswerBytes_ = 0;
  std::size_t KeptAnswerBytes_ = 0;
  std::uint64_t LogLinesDropped_ = 0;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_SHELLFIGURES_H
