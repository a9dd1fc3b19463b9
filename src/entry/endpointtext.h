#ifndef CRANBERRYSPOOL_ENTRY_ENDPOINTTEXT_H
#define CRANBERRYSPOOL_ENTRY_ENDPOINTTEXT_H

#include "entry/types/endpoint.h"
#include "framework/result.h"

#include <boost/system/error_code.hpp>

#include <string>

namespace cranberryspool::entry {

/// Formats an endpoint as `IP:port`.
std::string textOf(const Endpoint &Address);

/// Parses an endpoint of the form `IP:port`.
framework::Result<Endpoint, boost::system::error_code>
parseEndpoint(const std::string &Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_ENDPOINTTEXT_H
