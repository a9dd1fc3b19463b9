#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_MEMBERVIEW_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_MEMBERVIEW_H

#include "framework/ids.h"
#include "framework/time.h"
#include "quotas/internal/quotatiming.h"
#include "quotas/types/fleetsize.h"
#include "quotas/types/quotamember.h"
#include "quotas/types/quotasettings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cranberryspool::quotas {

/// What this instance knows of the fleet: the members, their rank for each
/// workspace, and which of them do not answer.
class MemberView {
public:
  struct Shareholder {
    framework::InstanceName Name_;
    bool IsRunning_ = false;
  };

  explicit MemberView(const QuotaSettings &Settings);

  void setMembers(std::vector<QuotaMember> Running, std::size_t KnownCount);
  /// Takes the time for the changes since the last call.
  void advance(framework::Instant Now);
  /// Returns true if members changed since the last call of `advance`.
  bool isReviewDue() const { return NextReviewAt_ == framework::Instant{}; }

  /// Returns a running member, or null.
  const QuotaMember *find(const framework::InstanceName &Name) const;
  /// Changes whenever shareholders may change.
  std::uint64_t version() const { return Version_; }
  /// Returns the shareholders of a workspace, by rank.
  std::vector<Shareholder>
  findShareholders(const framework::WorkspaceName &Workspace) const;
  /// Returns since when this instance holds a share of the workspace.
  framework::Instant
  shareStart(const framework::WorkspaceName &Workspace) const;
  /// Returns the fraction of the quotas that the running members may use.
  double fraction() const;
  /// Returns the largest fleet known, for other instances.
  FleetSize fleetSize() const;
  /// Takes over what another instance knows of the largest fleet.
  void learnFleetSize(const FleetSize &Size);
  /// Returns how many requests this instance may admit on its own in a window.
  std::size_t reserve(const framework::WorkspaceName &Workspace) const;

  bool isSuspected(const framework::InstanceName &Name) const;
  void suspect(const framework::InstanceName &Name, framework::Instant Now);
  void clearSuspicion(const framework::InstanceName &Name);
  /// Returns true if a suspected member is to be asked now, and counts it.
  bool takeProbe(const framework::InstanceName &Name, framework::Instant Now);

private:
  struct Member {
    QuotaMember Info_;
    std::uint64_t Seed_ = 0;
    bool IsRunning_ = true;
    /// True while the member counts among the shareholders.
    bool HoldsPlace_ = true;
    /// Unset while the time of the change is not known.
    std::optional<framework::Instant> RemovedAt_;
  };

  /// Finds when members were removed and which keep their place.
  void reviewRemoved();
  std::uint64_t selfWeight(const framework::WorkspaceName &Workspace) const;
  std::size_t countAhead(const framework::WorkspaceName &Workspace) const;

  QuotaSettings Settings_;
  std::uint64_t SelfSeed_;
  /// Running members and those that were removed recently.
  std::map<framework::InstanceName, Member> Members_;
  std::map<framework::InstanceName, framework::Instant> ProbedAt_;
  std::size_t RunningCount_ = 1;
  std::size_t KnownCount_ = 1;
  std::size_t LargestCount_ = 1;
  framework::Instant LargestAt_{};
  std::optional<framework::Instant> StartedAt_;
  framework::Instant Now_{};
  framework::Instant NextReviewAt_{};
  std::uint64_t Version_ = 0;
};

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_MEMBERVIEW_H
