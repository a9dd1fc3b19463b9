#ifndef CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTPUBLISHED_H
#define CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTPUBLISHED_H

#include "framework/ids.h"

#include <string>

namespace cranberryspool::decision {

/// The configuration service returned a document.
struct DocumentPublished {
  framework::Revision Revision_;
  std::string Text_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_TYPES_EVENTS_DOCUMENTPUBLISHED_H
