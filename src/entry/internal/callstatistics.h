#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLSTATISTICS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLSTATISTICS_H

#include "decision/types/endedcall.h"
#include "document/types/objective.h"
#include "entry/internal/workspacestatistics.h"
#include "report/callcounters.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace cranberryspool::document {
struct EnvironmentDocument;
} // namespace cranberryspool::document

namespace cranberryspool::entry {

/// Counts the ended calls of an instance, for metrics and for the burn rates of
/// service objectives. Used only on the dispatch worker.
class CallStatistics {
public:
  CallStatistics();

  /// Sets the objectives from the document in force, or none when it is null.
  void setObjectives(const document::EnvironmentDocument *Document);

  /// Counts one ended call.
  void record(const decision::EndedCall &Call, framework::WallTime Now);

  /// Counts a request that was refused with a status of this instance.
  void recordRefusal(unsigned Status, std::string_view Reason);

  std::vector<prometheus::MetricFamily> collect() const;
  const report::CallCounters &burnCounters() const { return BurnCounters_; }
  const std::map<report::ObjectiveKey, document::Objective> &
  objectives() const {
    return Objectives_;
  }

private:
  struct EndingKey {
    report::ObjectiveKey Key_;
    calls::Ending Ending_ = calls::Ending::NotRun;

    friend auto operator<=>(const EndingKey &, const EndingKey &) = default;
  };

  bool isGood(const report::ObjectiveKey &Key,
              const decision::EndedCall &Call) const;
  prometheus::Counter &counter(const EndingKey &Key);
  prometheus::Histogram &histogram(const report::ObjectiveKey &Key);

  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Calls_;
  prometheus::Family<prometheus::Histogram> &Durations_;
  prometheus::Family<prometheus::Counter> &Refusals_;
  WorkspaceStatistics Workspaces_;
  std::map<EndingKey, prometheus::Counter *> Counters_;
  std::map<report::ObjectiveKey, prometheus::Histogram *> Histograms_;
  std::map<report::ObjectiveKey, document::Objective> Objectives_;
  report::CallCounters BurnCounters_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLSTATISTICS_H
