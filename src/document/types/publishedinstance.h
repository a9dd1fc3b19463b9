#ifndef CRANBERRYSPOOL_DOCUMENT_TYPES_PUBLISHEDINSTANCE_H
#define CRANBERRYSPOOL_DOCUMENT_TYPES_PUBLISHEDINSTANCE_H

#include "framework/ids.h"

#include <optional>
#include <string>

namespace cranberryspool::document {

/// An entry of the platform's list of live and leaving instances. An entry
/// without a group is an entry instance of this system; one with a group is a
/// target.
struct PublishedInstance {
  framework::InstanceName Name_;
  /// The group of a target; empty for an entry instance.
  std::optional<framework::GroupName> Group_;
  framework::ZoneName Zone_;
  /// `IP:port` of a target's requests, or of an instance's peer messages.
  std::string Address_;
  bool IsLeaving_ = false;

  friend bool operator==(const PublishedInstance &,
                         const PublishedInstance &) = default;
};

} // namespace cranberryspool::document

#endif // CRANBERRYSPOOL_DOCUMENT_TYPES_PUBLISHEDINSTANCE_H
