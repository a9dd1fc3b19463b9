#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_PUBLISHEDINSTANCE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_PUBLISHEDINSTANCE_H

#include "framework/ids.h"

#include <optional>
#include <string>

namespace cranberryspool::document {

/// An element of the platform's list of running and stopping instances. An
/// element without a group is an entry instance of this system; an element with
/// a group is a target.
struct PublishedInstance {
  framework::InstanceName Name_;
  /// The group of a target; empty for an entry instance.
  std::optional<framework::GroupName> Group_;
  framework::ZoneName Zone_;
  /// The `IP:port` at which a target accepts requests, or an entry instance
  /// accepts peer messages.
  std::string Address_;
  /// True when the instance is shutting down.
  bool IsLeaving_ = false;

  friend bool operator==(const PublishedInstance &,
                         const PublishedInstance &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_PUBLISHEDINSTANCE_H
