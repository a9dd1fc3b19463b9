#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H

namespace cranberryspool::document {

/// The smallest and the largest value allowed.
template <typename Value> struct Range {
  Value Least_;
  Value Most_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_RANGE_H
