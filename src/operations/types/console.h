#ifndef CRANBERRYSPOOL_OPERATIONS_TYPES_CONSOLE_H
#define CRANBERRYSPOOL_OPERATIONS_TYPES_CONSOLE_H

#include "operations/types/outputformat.h"

#include <iosfwd>

namespace cranberryspool::operations {

/// The output streams of a command and the format of its result.
struct Console {
  std::ostream &Out_;
  std::ostream &Error_;
  OutputFormat Format_ = OutputFormat::Text;
};

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_TYPES_CONSOLE_H
