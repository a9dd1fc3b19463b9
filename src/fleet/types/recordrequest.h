#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDREQUEST_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDREQUEST_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <vector>

namespace cranberryspool::fleet {

/// Asks another instance for the changes of the platform's metadata store that
/// are missing at the sender. Answered by `RecordUpdate` and `RecordPart`, if
/// the receiver has news.
struct RecordRequest {
  framework::InstanceName From_;
  framework::Incarnation Incarnation_;
  /// The sender has all changes up to this revision.
  framework::Revision After_;
  /// The age of the sender's view.
  framework::Duration Age_{};
  /// The revision of a large record that has arrived in part, and the parts of
  /// it that are to be sent.
  framework::Revision LargeRevision_;
  std::vector<std::uint32_t> MissingParts_;

  /// Returns true for a request for evidence that the receiver reads the same
  /// store. Earlier builds answer it like any other one, since the parts of no
  /// large record are ignored.
  bool isForEvidence() const {
    return LargeRevision_ == framework::Revision() && !MissingParts_.empty();
  }

  friend bool operator==(const RecordRequest &,
                         const RecordRequest &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDREQUEST_H
