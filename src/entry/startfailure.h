#ifndef CRANBERRYSPOOL_ENTRY_STARTFAILURE_H
#define CRANBERRYSPOOL_ENTRY_STARTFAILURE_H

#include "entry/types/endpoint.h"

#include <boost/system/error_code.hpp>

namespace cranberryspool::entry {

/// The reason for which an instance did not start: an address that could not be
/// bound.
struct StartFailure {
  Endpoint Endpoint_;
  boost::system::error_code Reason_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_STARTFAILURE_H
