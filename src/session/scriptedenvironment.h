#ifndef CRANBERRYSPOOL_SESSION_SCRIPTEDENVIRONMENT_H
#define CRANBERRYSPOOL_SESSION_SCRIPTEDENVIRONMENT_H

#include "decision/action.h"
#include "decision/event.h"
#include "framework/ids.h"
#include "framework/time.h"
#include "session/scriptedtarget.h"
#include "session/types/environmentsetup.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cranberryspool::session {

/// Simulates the platform and the targets around the core of a session.
/// Executes the actions of the core in virtual time and schedules the events
/// that result, as configured by the script.
class ScriptedEnvironment {
public:
  explicit ScriptedEnvironment(EnvironmentSetup Setup);

  /// Executes an action of the core and schedules the events that result.
  void execute(const decision::Action &Action, framework::Instant Now);

  /// Returns the time of the next scheduled event, or `Instant::max()`.
  framework::Instant nextEventTime() const;
  /// Removes the next scheduled event and returns it, or nothing if the event
  /// was lost because its connection has closed or fallen silent. At least one
  /// event must be scheduled.
  std::optional<decision::Event> takeNextEvent();
  /// Schedules an event for the given time.
  void schedule(framework::Instant When, decision::Event Event);
  /// Schedules a complete response to an attempt that has already ended. Unlike
  /// other responses it is delivered even if its connection is gone.
  void scheduleLateResponse(framework::Instant When,
                            framework::AttemptId Attempt,
                            framework::ConnectionId Connection);

  /// Returns the behaviour of the named target for modification.
  ScriptedTarget &target(const std::string &Name) { return Targets_[Name]; }
  /// Resets all connections of the named target, as its restart would.
  void resetConnections(const std::string &Name, framework::Instant Now);
  /// Suppresses, permanently, all responses on the connections that are
  /// currently open to the named target.
  void silenceConnections(const std::string &Name);
  /// Makes the platform unavailable to the core, or available again.
  void setPlatformDown(bool IsDown) { IsPlatformDown_ = IsDown; }
  /// Makes the platform serve this revision of the document, which may be
  /// older than the latest.
  void serveDocumentRevision(std::uint64_t Revision) {
    ServedRevision_ = Revision;
  }
  /// Returns the document with the highest revision.
  const std::string &latestDocument() const {
    return Documents_.rbegin()->second;
  }
  /// Publishes a document under the next revision.
  void publishDocument(std::string Text);
  /// Publishes a list of instances under the next revision.
  void publishInstances(std::vector<document::PublishedInstance> Instances);

  /// Returns the setup with the list of instances that is published now.
  const EnvironmentSetup &setup() const { return Setup_; }

private:
  struct SimulatedConnection {
    /// The name of the target.
    std::string Target_;
    /// Whether responses on the connection are suppressed.
    bool IsSilent_ = false;
    /// The attempt that awaits its response on the connection.
    std::optional<framework::AttemptId> CurrentAttempt_;
  };

  /// Schedules the outcome of an attempt according to the mode of its target.
  void respond(const decision::SendAttempt &Action, framework::Instant Now);
  /// Schedules a complete response of the target.
  void scheduleResponse(const decision::SendAttempt &Action,
                        const ScriptedTarget &Target, framework::Instant When);
  void execute(const decision::OpenConnection &Action, framework::Instant Now);
  void execute(const decision::CloseConnection &Action, framework::Instant Now);
  void execute(const decision::SendAttempt &Action, framework::Instant Now);
  void execute(const decision::ProbeTarget &Action, framework::Instant Now);
  void execute(const decision::ReadDocument &Action, framework::Instant Now);
  void execute(const decision::ReadInstances &Action, framework::Instant Now);
  void execute(const decision::FetchSections &Action, framework::Instant Now);
  /// Ignores actions that have no effect on the platform or a target.
  template <typename OtherAction>
  void execute(const OtherAction &, framework::Instant) {}
  /// Returns the name of the instance with this address, or the address itself
  /// if no published instance has it.
  std::string instanceNameAt(const std::string &Address) const;
  routing::LoadReport makeLoadReport(const ScriptedTarget &Target) const;

  EnvironmentSetup Setup_;
  std::map<std::string, ScriptedTarget> Targets_;
  std::map<framework::ConnectionId, SimulatedConnection> Connections_;
  /// Ordered by time; events of the same time in the order of scheduling.
  std::map<std::pair<framework::Instant, std::uint64_t>, decision::Event>
      ScheduledEvents_;
  /// The sequence number of the last scheduled event.
  std::uint64_t LastSequence_ = 0;
  /// Attempts with a scheduled late response.
  std::set<framework::AttemptId> LateAttempts_;
  /// The published documents by revision.
  std::map<std::uint64_t, std::string> Documents_;
  /// The revision of the document that the platform serves.
  std::uint64_t ServedRevision_ = 1;
  std::uint64_t InstanceListRevision_ = 1;
  bool IsPlatformDown_ = false;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_SCRIPTEDENVIRONMENT_H
