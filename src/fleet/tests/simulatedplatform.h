#ifndef CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDPLATFORM_H
#define CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDPLATFORM_H

#include "document/types/publishedinstance.h"
#include "fleet/tests/simulatedclock.h"
#include "fleet/types/sectionkind.h"
#include "framework/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberryspool::fleet {

/// Simulates the platform's configuration service and list of instances,
/// including watches.
class SimulatedPlatform {
public:
  enum class Answer { Value, Unchanged, Unavailable };
  using Reply = std::function<void(Answer)>;

  explicit SimulatedPlatform(SimulatedClock &Clock) : Clock_(Clock) {}

  void publishDocument(framework::Revision Revision, std::string Text);
  void publishInstances(std::vector<document::PublishedInstance> Instances);
  void setDown(bool IsDown) { IsDown_ = IsDown; }

  /// `IsReachable` is called when the request arrives and again whenever the
  /// watch polls for a newer value.
  void read(SectionKind Kind, std::optional<framework::Revision> NewerThan,
            framework::Duration Wait, std::function<bool()> IsReachable,
            Reply Done);

  framework::Revision revision(SectionKind Kind) const;
  const std::string &text() const { return Text_; }
  const std::vector<document::PublishedInstance> &instances() const {
    return Instances_;
  }
  std::uint64_t calls() const { return Calls_; }

private:
  void poll(SectionKind Kind, std::optional<framework::Revision> NewerThan,
            framework::Instant Until, const std::function<bool()> &IsReachable,
            const Reply &Done);

  SimulatedClock &Clock_;
  bool IsDown_ = false;
  framework::Revision DocumentRevision_{};
  std::string Text_;
  framework::Revision ListRevision_{};
  std::vector<document::PublishedInstance> Instances_;
  std::uint64_t Calls_ = 0;
};

} // namespace cranberryspool::fleet

#endif // CRANBERRYSPOOL_FLEET_TESTS_SIMULATEDPLATFORM_H
