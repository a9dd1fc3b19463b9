#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H

namespace cranberryspool::document {

/// An inclusive range of allowed values.
template <typename Value> struct Range {
  Value Min_;
  Value Max_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H
