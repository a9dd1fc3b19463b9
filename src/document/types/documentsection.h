#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTSECTION_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTSECTION_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::document {

/// A part of a document that instances compare and transfer separately: one
/// service, the workspaces, or the settings common to all services.
struct DocumentSection {
  /// `common`, `workspaces`, or `service/` followed by the name of the service.
  /// There is no section `workspaces` in a document without workspaces.
  std::string Name_;
  /// The hash of `Text_`. It is independent of comments, whitespace, the order
  /// of keys and lists, and the notation of values in the original document.
  framework::Digest Digest_;
  /// The section as canonical JSON: no whitespace, keys in a fixed order, lists
  /// sorted by name, durations in their largest exact unit, default values
  /// included.
  std::string Text_;

  friend bool operator==(const DocumentSection &,
                         const DocumentSection &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTSECTION_H
