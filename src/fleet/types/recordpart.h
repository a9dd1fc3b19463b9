#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDPART_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDPART_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A part of a changed record of the platform's metadata store that is too
/// large for one message. The parts of a compressed record are the same at all
/// instances, so that they may come from several. A receiver that has all
/// changes up to `FromRevision_` has all changes up to `ToRevision_` once it
/// has applied the whole record.
struct RecordPart {
  framework::InstanceName From_;
  framework::Revision FromRevision_;
  framework::Revision ToRevision_;
  /// As in `RecordUpdate`.
  framework::Duration Age_{};
  /// As in `RecordUpdate`.
  framework::WallTime AnsweredAt_{};
  std::string Key_;
  framework::Revision RecordRevision_;
  /// The size of the value. It is compressed.
  std::uint64_t ValueBytes_ = 0;
  /// The position of this part among the `Count_` parts of the record, starting
  /// at zero.
  std::uint32_t Index_ = 0;
  std::uint32_t Count_ = 0;
  std::vector<std::uint8_t> Bytes_;

  friend bool operator==(const RecordPart &, const RecordPart &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDPART_H
