#ifndef CRANBERRYSPOOL_DOCUMENT_FAULTCOLLECTOR_H
#define CRANBERRYSPOOL_DOCUMENT_FAULTCOLLECTOR_H

#include "document/types/documentfault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranberryspool::document {

/// Gathers the faults of one text.
class FaultCollector {
public:
  void add(std::size_t Offset, DocumentFault Fault);

  bool isEmpty() const { return Faults_.empty(); }

  /// Returns the faults in the order of their offsets, with line and column.
  DocumentFaults take(std::string_view Text);

private:
  std::vector<std::pair<std::size_t, DocumentFault>> Faults_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_FAULTCOLLECTOR_H
