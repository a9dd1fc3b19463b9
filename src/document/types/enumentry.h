#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_ENUMENTRY_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_ENUMENTRY_H

#include <string_view>

namespace cranberryspool::document {

/// The name of an enumeration value in a document, and the value.
template <typename Value> struct EnumEntry {
  std::string_view Name_;
  Value Value_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_ENUMENTRY_H
