#ifndef CRANBERRYSPOOL_ENTRY_STARTFAILURE_H
#define CRANBERRYSPOOL_ENTRY_STARTFAILURE_H

#include "entry/types/endpoint.h"

#include <boost/system/error_code.hpp>

namespace cranberryspool::entry {

/// Why an instance did not start: an address that cannot be listened on.
struct StartFailure {
  Endpoint Endpoint_;
  boost::system::error_code Reason_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_STARTFAILURE_H
