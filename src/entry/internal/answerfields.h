#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_ANSWERFIELDS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_ANSWERFIELDS_H

#include "entry/types/answerhead.h"
#include "entry/types/headerfield.h"
#include "entry/types/httpprofile.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// Reads a load report, a JSON object; nothing when it is unreadable. Members
/// that are absent count as zero or false.
std::optional<routing::LoadReport> readLoadReport(std::string_view Text);

/// Reads a start id: a decimal number, or any other text by its hash.
framework::Incarnation readStartId(std::string_view Text);

/// Reads what a target says in the fields of its answer.
AnswerHead readAnswerFields(const std::vector<HeaderField> &Fields,
                            const HttpProfile &Spoken);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_ANSWERFIELDS_H
