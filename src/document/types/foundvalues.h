#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_FOUNDVALUES_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_FOUNDVALUES_H

namespace cranberryspool::document {

/// Whether faults contain the values and unknown keys that were found.
enum class FoundValues {
  Shown,
  /// Only the place is reported, because the value may be a secret.
  Hidden
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_FOUNDVALUES_H
