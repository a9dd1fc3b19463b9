#ifndef CRANBERRYSPOOL_ENTRY_TYPES_SERVICEREQUEST_H
#define CRANBERRYSPOOL_ENTRY_TYPES_SERVICEREQUEST_H

#include <string>

namespace cranberryspool::entry {

/// A request to an HTTP endpoint that the instance itself serves.
struct ServiceRequest {
  std::string Method_;
  std::string Path_;
  std::string Body_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_SERVICEREQUEST_H
