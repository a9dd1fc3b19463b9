#ifndef CRANBERRYSPOOL_DOCUMENT_FAULTCOLLECTOR_H
#define CRANBERRYSPOOL_DOCUMENT_FAULTCOLLECTOR_H

#include "document/types/documentfault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranberryspool::document {

/// Collects the faults found in one text, at most `MaxReportedFaults`.
class FaultCollector {
public:
  void add(std::size_t Offset, DocumentFault Fault);

  bool isEmpty() const { return Faults_.empty(); }

  /// Removes and returns the faults, sorted by offset, with the line and column
  /// of each computed from `Text`.
  DocumentFaults take(std::string_view Text);

private:
  std::vector<std::pair<std::size_t, DocumentFault>> Faults_;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_FAULTCOLLECTOR_H
