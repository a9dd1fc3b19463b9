#ifndef CRANBERRYSPOOL_STANDINS_RUNRECORD_H
#define CRANBERRYSPOOL_STANDINS_RUNRECORD_H

#include <cstdint>
#include <map>
#include <string>

namespace cranberryspool::standins {

/// What all targets of a deployment ran, by the identity that the caller gave
/// its call. Used by one thread only.
class RunRecord {
public:
  /// Records that a request began to run.
  void addRun(const std::string &Call) { ++Runs_[Call]; }

  std::uint32_t runCount(const std::string &Call) const {
    const auto Position = Runs_.find(Call);
    return Position == Runs_.end() ? 0 : Position->second;
  }

  /// All calls that ran, with the number of times.
  const std::map<std::string, std::uint32_t> &runs() const { return Runs_; }

private:
  std::map<std::string, std::uint32_t> Runs_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_RUNRECORD_H
