#ifndef CRANBERRYSPOOL_STANDINS_RUNRECORD_H
#define CRANBERRYSPOOL_STANDINS_RUNRECORD_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cranberryspool::standins {

/// Counts how often the targets of a deployment ran each call, by the
/// identifier that the caller gave the call. Used by one thread only.
class RunRecord {
public:
  /// Records that a target started to run a request, and the workspace that the
  /// request named; empty when it named none.
  void addRun(const std::string &Call, const std::string &Workspace = {}) {
    ++Runs_[Call];
    if (!Workspace.empty())
      Workspaces_[Call].insert(Workspace);
  }

  /// Returns how often a call was run, on all targets together.
  std::uint32_t runCount(const std::string &Call) const {
    const auto Position = Runs_.find(Call);
    return Position == Runs_.end() ? 0 : Position->second;
  }

  /// Returns the run counts of all calls that were run at least once.
  const std::map<std::string, std::uint32_t> &runs() const { return Runs_; }

  /// Returns the workspaces that the requests of each call named, for the calls
  /// that named any.
  const std::map<std::string, std::set<std::string>> &workspaces() const {
    return Workspaces_;
  }

private:
  std::map<std::string, std::uint32_t> Runs_;
  std::map<std::string, std::set<std::string>> Workspaces_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_RUNRECORD_H
