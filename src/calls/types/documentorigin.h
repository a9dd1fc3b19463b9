#ifndef CRANBERRYSPOOL_CALLS_TYPES_DOCUMENTORIGIN_H
#define CRANBERRYSPOOL_CALLS_TYPES_DOCUMENTORIGIN_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::calls {

/// The document by which a call was decided.
struct DocumentOrigin {
  framework::Revision Version_;
  /// `store`, or the name of the instance from which the document came; empty
  /// where documents are not replicated as records.
  std::string Source_{};
  /// The revision of the store at which the document was written; zero where
  /// documents are not replicated as records.
  framework::Revision RecordRevision_{};
};

} // namespace cranberryspool::calls

#endif // CRANBERRYSPOOL_CALLS_TYPES_DOCUMENTORIGIN_H
