#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERJSON_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERJSON_H

#include "entry/types/targetresponse.h"
#include "framework/ids.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The JSON encoding of the parameters and the result of `fetchKeptAnswer`.
/// Header fields and bodies may hold any bytes and are encoded in base64.
namespace cranberryspool::entry {

std::string writeKeptAnswerRequest(framework::CallId Call);
std::optional<framework::CallId> readKeptAnswerRequest(std::string_view Text);

/// Encodes a kept response; a null pointer means that there is none.
std::string writeKeptAnswer(const TargetResponse *Response);

/// Decodes a kept response; returns nothing when there is none or the text is
/// invalid.
std::optional<TargetResponse> readKeptAnswer(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERJSON_H
