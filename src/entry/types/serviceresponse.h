#ifndef CRANBERRYSPOOL_ENTRY_TYPES_SERVICERESPONSE_H
#define CRANBERRYSPOOL_ENTRY_TYPES_SERVICERESPONSE_H

#include <string>

namespace cranberryspool::entry {

/// The response of an HTTP endpoint that the instance itself serves.
struct ServiceResponse {
  unsigned Status_ = 200;
  std::string ContentType_ = "text/plain";
  std::string Body_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_SERVICERESPONSE_H
