#ifndef CRANBERRYSPOOL_OPERATIONS_DIFFDOCUMENTS_H
#define CRANBERRYSPOOL_OPERATIONS_DIFFDOCUMENTS_H

#include "operations/types/documentchange.h"

#include <vector>

namespace cranberryspool::document {
struct EnvironmentDocument;
} // namespace cranberryspool::document

namespace cranberryspool::operations {

/// Returns the differences between two documents, sorted by category. Zones,
/// services, request kinds and target groups are matched by name.
std::vector<DocumentChange>
diffDocuments(const document::EnvironmentDocument &Old,
              const document::EnvironmentDocument &New);

} // namespace cranberryspool::operations

#endif // CRANBERRYSPOOL_OPERATIONS_DIFFDOCUMENTS_H
