#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_RESPONSEFIELDS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_RESPONSEFIELDS_H

#include "entry/types/headerfield.h"
#include "entry/types/httpprofile.h"
#include "entry/types/responsemetadata.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cranberryspool::entry {

/// Parses a load report, a JSON object; returns nothing when it is invalid.
/// Absent members count as zero or false.
std::optional<routing::LoadReport> readLoadReport(std::string_view Text);

/// Converts a start id to a number: decimal text by its value, any other text
/// by its hash.
framework::Incarnation readStartId(std::string_view Text);

/// Reads the metadata in the header fields of a target's response.
ResponseMetadata readResponseFields(const std::vector<HeaderField> &Fields,
                                    const HttpProfile &Profile);

/// Returns the request limit that a response to an executed request states:
/// unlimited when it names none, nothing when that cannot be told.
std::optional<routing::RequestRate>
statedRequestLimit(const ResponseMetadata &Metadata,
                   const HttpProfile &Profile);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_RESPONSEFIELDS_H
