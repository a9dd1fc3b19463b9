#ifndef CRANBERRYSPOOL_OPERATIONS_DIFFDOCUMENTS_H
#define CRANBERRYSPOOL_OPERATIONS_DIFFDOCUMENTS_H

#include "operations/types/documentchange.h"

#include <vector>

namespace cranberryspool::document {
struct EnvironmentDocument;
} // namespace cranberryspool::document

namespace cranberryspool::operations {

/// Returns what a new document changes, sorted by concern. Zones, services,
/// kinds and groups are the same when their names are.
std::vector<DocumentChange>
diffDocuments(const document::EnvironmentDocument &Old,
              const document::EnvironmentDocument &New);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_DIFFDOCUMENTS_H
