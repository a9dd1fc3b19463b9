#ifndef CRANBERRYSPOOL_ENTRY_TYPES_SERVICEANSWER_H
#define CRANBERRYSPOOL_ENTRY_TYPES_SERVICEANSWER_H

#include <string>

namespace cranberryspool::entry {

/// The answer of one of an instance's own pages or methods.
struct ServiceAnswer {
  unsigned Status_ = 200;
  std::string ContentType_ = "text/plain";
  std::string Body_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_SERVICEANSWER_H
