#include "document/faultcollector.h"

#include "document/parsedocument.h"

#include <algorithm>

namespace cranberryspool::document {

void FaultCollector::add(std::size_t Offset, DocumentFault Fault) {
  if (Faults_.size() < MaxReportedFaults)
    Faults_.emplace_back(Offset, std::move(Fault));
}

DocumentFaults FaultCollector::take(std::string_view Text) {
  std::stable_sort(Faults_.begin(), Faults_.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  DocumentFaults Sorted;
  std::size_t Line = 1;
  std::size_t LineStart = 0;
  std::size_t Position = 0;
  for (auto &[Offset, Fault] : Faults_) {
    for (; Position < Offset && Position < Text.size(); ++Position) {
      if (Text[Position] != '\n')
        continue;
      ++Line;
      LineStart = Position + 1;
    }
    Fault.Line_ = Line;
    Fault.Column_ = Offset - LineStart + 1;
    Sorted.push_back(std::move(Fault));
  }
  Faults_.clear();
  return Sorted;
}

} // namespace cranberryspool::document
