#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_SECTIONSJSON_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_SECTIONSJSON_H

#include "fleet/types/sectionreply.h"
#include "fleet/types/sectionrequest.h"

#include <optional>
#include <string>
#include <string_view>

/// The JSON encoding of the parameters and the result of `fetchSections`.
namespace cranberryspool::entry {

std::string writeSectionRequest(const fleet::SectionRequest &Request);
std::optional<fleet::SectionRequest> readSectionRequest(std::string_view Text);

std::string writeSectionReply(const fleet::SectionReply &Reply);
std::optional<fleet::SectionReply> readSectionReply(std::string_view Text);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_SECTIONSJSON_H
