#ifndef CRANBERRYSPOOL_WORKSPACES_READCREDENTIAL_H
#define CRANBERRYSPOOL_WORKSPACES_READCREDENTIAL_H

#include "workspaces/types/credential.h"

#include <span>
#include <string_view>

namespace cranberryspool::workspaces {

/// Reads the credential of a request from the values of its `Authorization`
/// fields (RFC 9110, RFC 6750). The scheme is compared without regard to case.
/// Repeated fields are malformed, because it is not known which one the caller
/// means.
Credential readCredential(std::span<const std::string_view> Values);

} // namespace cranberryspool::workspaces

#endif // CRANBERRYSPOOL_WORKSPACES_READCREDENTIAL_H
