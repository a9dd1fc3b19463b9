#ifndef CRANBERRYSPOOL_ENTRY_STARTFAILURE_H
#define CRANBERRYSPOOL_ENTRY_STARTFAILURE_H

#include "entry/types/endpoint.h"

#include <boost/system/error_code.hpp>

namespace cranberryspool::entry {

/// The address that could not be bound, which kept an instance from starting.
struct StartFailure {
  Endpoint Endpoint_;
  boost::system::error_code Reason_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_STARTFAILURE_H
