#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_WORKSPACESTATISTICS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_WORKSPACESTATISTICS_H

#include "decision/types/endedcall.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <map>
#include <string>

namespace cranberryspool::entry {

/// Counts the ended calls of each workspace. The first `MaxWorkspaces`
/// workspaces that have calls get a label value of their own, all others share
/// `OtherWorkspaces`, so that the size of the metrics page is bounded. Used
/// only on the dispatch worker.
class WorkspaceStatistics {
public:
  static constexpr std::size_t MaxWorkspaces = 100;
  static constexpr const char *OtherWorkspaces = "(other)";

  /// `Registry` must outlive the statistics. Nothing is added to it before the
  /// first call of a workspace.
  explicit WorkspaceStatistics(prometheus::Registry &Registry)
      : Registry_(Registry) {}

  /// Counts one ended call; does nothing when it belongs to no workspace.
  void record(const decision::EndedCall &Call);

private:
  struct Metrics {
    std::map<std::string, prometheus::Counter *> CallsByOutcome_;
    prometheus::Histogram *Durations_ = nullptr;
  };

  void registerFamilies();
  /// Returns the label value for a workspace.
  std::string labelFor(const framework::WorkspaceName &Workspace) const;
  prometheus::Counter &counter(const std::string &Label,
                               const std::string &Outcome);
  prometheus::Histogram &histogram(const std::string &Label);

  prometheus::Registry &Registry_;
  prometheus::Family<prometheus::Counter> *Calls_ = nullptr;
  prometheus::Family<prometheus::Histogram> *Durations_ = nullptr;
  std::map<std::string, Metrics> MetricsByLabel_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_WORKSPACESTATISTICS_H
