#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H

namespace cranberryspool::document {

/// The smallest and the largest value allowed.
template <typename Value> struct Range {
  Value Min_;
  Value Max_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H
