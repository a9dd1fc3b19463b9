#ifndef CRANBERRYSPOOL_ENTRY_TYPES_SERVICEQUESTION_H
#define CRANBERRYSPOOL_ENTRY_TYPES_SERVICEQUESTION_H

#include <string>

namespace cranberryspool::entry {

/// A request at one of an instance's own pages or methods.
struct ServiceQuestion {
  std::string Method_;
  std::string Path_;
  std::string Body_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_SERVICEQUESTION_H
