#ifndef CRANBERRYSPOOL_OPERATIONS_INTERNAL_QUOTATEXT_H
#define CRANBERRYSPOOL_OPERATIONS_INTERNAL_QUOTATEXT_H

#include <string>

namespace cranberryspool::document {
struct WorkspaceQuota;
} // namespace cranberryspool::document

namespace cranberryspool::operations {

/// Returns a quota such as `50 a second, burst 20`, or `none`.
std::string quotaText(const document::WorkspaceQuota &Quota);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_INTERNAL_QUOTATEXT_H
