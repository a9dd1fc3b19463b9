#ifndef CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H
#define CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::fleet {

/// Reports that a newer document was accepted and is now the current one.
struct DocumentApplied {
  framework::Revision Revision_;
  /// `store`, or the name of the instance from which the document came; empty
  /// where documents are not replicated as records.
  std::string Source_{};
  /// The revision of the store at which it was written; zero where documents
  /// are not replicated as records.
  framework::Revision RecordRevision_{};
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_OUTPUTS_DOCUMENTAPPLIED_H
