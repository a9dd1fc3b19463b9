#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTFAULT_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTFAULT_H

#include "document/types/faultkind.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::document {

/// One reason to refuse a document, and where it lies.
struct DocumentFault {
  FaultKind Kind_ = FaultKind::InvalidSyntax;
  /// JSON pointer (RFC 6901) of the value; of the object for a missing key.
  std::string Pointer_;
  /// Counted from 1.
  std::size_t Line_ = 0;
  /// Counted from 1, in bytes.
  std::size_t Column_ = 0;
  std::string Expected_;
  /// What stands there instead; empty when nothing does.
  std::string Found_;

  friend bool operator==(const DocumentFault &,
                         const DocumentFault &) = default;
};

/// All reasons to refuse a document, in the order of their position.
using DocumentFaults = std::vector<DocumentFault>;

/// Returns the fault as one line: position, pointer, kind, expected and found.
std::string formatFault(const DocumentFault &Fault);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTFAULT_H
