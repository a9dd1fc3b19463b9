#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDFRAGMENT_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDFRAGMENT_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A part of a changed entry of the platform's store that is too large for one
/// message. Who has all up to `FromRevision_` has all up to `ToRevision_` once it has put
/// the parts together.
struct RecordFragment {
  framework::InstanceName From_;
  framework::Revision FromRevision_;
  framework::Revision ToRevision_;
  /// Since the store told of the change.
  framework::Duration Age_{};
  /// The time of day when the store said so to the instance that asked it.
  /// Shows how long the word was under way at slow instances, as far as clocks
  /// agree.
  framework::WallTime AnsweredAt_{};
  std::string Key_;
  /// Of `Count_` parts, counted from zero.
  std::uint32_t Index_ = 0;
  std::uint32_t Count_ = 0;
  std::vector<std::uint8_t> Bytes_;

  friend bool operator==(const RecordFragment &, const RecordFragment &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDFRAGMENT_H
