#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTFAULT_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTFAULT_H

#include "document/types/faultkind.h"

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryspool::document {

/// A reason for which a document is rejected, and its position in the text.
struct DocumentFault {
  FaultKind Kind_ = FaultKind::InvalidSyntax;
  /// The JSON pointer (RFC 6901) to the invalid value, or to the object that
  /// lacks a key.
  std::string Pointer_;
  /// The line number, starting at 1.
  std::size_t Line_ = 0;
  /// The column in bytes, starting at 1.
  std::size_t Column_ = 0;
  /// A description of a valid value.
  std::string Expected_;
  /// A description of the value found; empty when there is none.
  std::string Found_;

  friend bool operator==(const DocumentFault &,
                         const DocumentFault &) = default;
};

/// The faults of a document, sorted by position.
using DocumentFaults = std::vector<DocumentFault>;

/// Formats a fault as one line of text: position, pointer, kind, expected and
/// found value.
std::string formatFault(const DocumentFault &Fault);

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_DOCUMENTFAULT_H
