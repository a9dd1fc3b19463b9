#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERJSON_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERJSON_H

#include "entry/types/targetanswer.h"
#include "framework/ids.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The parameters and the result of the method `fetchKeptAnswer`, as JSON.
/// Bytes that need not be text travel in base64.
namespace cranberryspool::entry {

std::string writeKeptAnswerQuestion(framework::CallId Call);
std::optional<framework::CallId> readKeptAnswerQuestion(std::string_view Text);

/// Writes an answer, or that there is none.
std::string writeKeptAnswer(const TargetAnswer *Answer);

/// Reads an answer; nothing when there is none or it is unreadable.
std::optional<TargetAnswer> readKeptAnswer(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_KEPTANSWERJSON_H
