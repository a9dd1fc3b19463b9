#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_STOREDRESPONSEJSON_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_STOREDRESPONSEJSON_H

#include "entry/types/targetresponse.h"
#include "framework/ids.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The JSON encoding of the parameters and the result of `fetchKeptAnswer`.
/// Header fields and bodies may hold any bytes and are encoded in base64.
namespace cranberryspool::entry {

std::string writeStoredResponseRequest(framework::CallId Call);
std::optional<framework::CallId>
readStoredResponseRequest(std::string_view Text);

/// Encodes a stored response; a null pointer means that there is none.
std::string writeStoredResponse(const TargetResponse *Response);

/// Decodes a stored response; returns nothing when there is none or the text is
/// invalid.
std::optional<TargetResponse> readStoredResponse(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_STOREDRESPONSEJSON_H
