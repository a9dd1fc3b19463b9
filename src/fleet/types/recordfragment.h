#ifndef CRANBERRYSPOOL_FLEET_TYPES_RECORDFRAGMENT_H
#define CRANBERRYSPOOL_FLEET_TYPES_RECORDFRAGMENT_H

#include "framework/ids.h"
#include "framework/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// A fragment of a changed record of the platform's metadata store that is too
/// large for one message, as earlier builds send it instead of `RecordPart`. A
/// receiver that has all changes up to `FromRevision_` has all changes up to
/// `ToRevision_` once it has applied the whole record.
struct RecordFragment {
  framework::InstanceName From_;
  framework::Revision FromRevision_;
  framework::Revision ToRevision_;
  /// The time since the store returned the change.
  framework::Duration Age_{};
  /// The wall-clock time at which the store returned this to the instance that
  /// read it. Reveals delays in slow instances, which `Age_` does not include,
  /// as far as the clocks of the instances agree.
  framework::WallTime AnsweredAt_{};
  std::string Key_;
  /// The position of this fragment among the `Count_` fragments of the record,
  /// starting at zero.
  std::uint32_t Index_ = 0;
  std::uint32_t Count_ = 0;
  std::vector<std::uint8_t> Bytes_;

  friend bool operator==(const RecordFragment &,
                         const RecordFragment &) = default;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TYPES_RECORDFRAGMENT_H
