#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTSECTION_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTSECTION_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::document {

/// A part of a document that is compared and transferred on its own: one
/// service, or what is common to all.
struct DocumentSection {
  /// `common`, or `service/` and the name of the service.
  std::string Name_;
  /// Over `Text_`, so that comments, spaces, the order of keys and lists, and
  /// the spelling of values do not change it.
  framework::Digest Digest_;
  /// JSON in a canonical form: no spaces, keys in a fixed order, lists sorted
  /// by name, durations in their largest exact unit, defaults written out.
  std::string Text_;

  friend bool operator==(const DocumentSection &,
                         const DocumentSection &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTSECTION_H
