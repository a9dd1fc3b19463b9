#ifndef CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_REVISIONCOUNTING_H
#define CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_REVISIONCOUNTING_H

#include <algorithm>
#include <cstddef>

namespace cranberryspool::fleet {

/// Learns whether the platform's metadata store counts its revision up by one
/// with each change and not otherwise, from the changes that it returns. For
/// such a store a revision without a change is a change that was left out.
class RevisionCounting {
public:
  /// Handles changes whose revisions lead on from each other without a gap.
  void recordContiguous(std::size_t Changes) { Contiguous_ += Changes; }
  /// Handles revisions without a change.
  void recordGap() { Contiguous_ = 0; }
  /// Handles revisions without a change while `isByOne`, of which a read of all
  /// records has shown that no change was left out. More is needed from now on.
  void recordGapWithoutLoss() {
    Contiguous_ = 0;
    Required_ = std::min(2 * Required_, MaxRequired);
  }
  bool isByOne() const { return Contiguous_ >= Required_; }

private:
  static constexpr std::size_t InitiallyRequired = 4;
  static constexpr std::size_t MaxRequired = 1024;

  std::size_t Contiguous_ = 0;
  std::size_t Required_ = InitiallyRequired;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_INTERNAL_SEEDED_REVISIONCOUNTING_H
