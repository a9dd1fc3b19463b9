#ifndef CRANBERRYSPOOL_SESSION_SCRIPTEDWORLD_H
#define CRANBERRYSPOOL_SESSION_SCRIPTEDWORLD_H

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

/// The platform and the targets of a session: small fakes that answer what the
/// core asks for, as the script tells them.
class ScriptedWorld {
public:
  explicit ScriptedWorld(EnvironmentSetup Setup);

  /// Notes an action of the core, and schedules what follows from it.
  void take(const decision::Action &Asked, framework::Instant Now);

  /// Returns when the next reply is due, or `Instant::max()`.
  framework::Instant nextReply() const;
  /// Takes the reply that is due next; nothing when it was lost on the way.
  std::optional<decision::Event> takeReply();
  /// Lets an event happen at the given time.
  void schedule(framework::Instant When, decision::Event Event);
  /// Lets a whole answer to an attempt that has ended be told.
  void scheduleLateAnswer(framework::Instant When, framework::AttemptId Attempt,
                          framework::ConnectionId Connection);

  /// Returns the behaviour of the target with this name, to change it.
  ScriptedTarget &target(const std::string &Name) { return Targets_[Name]; }
  /// Resets all connections of the target, as a new start does.
  void resetConnections(const std::string &Name, framework::Instant Now);
  /// Makes all connections that are open to the target silent for good.
  void silenceConnections(const std::string &Name);
  /// Cuts the core off from the platform, or joins it again.
  void setPlatformDown(bool IsDown) { IsPlatformDown_ = IsDown; }
  /// From now on the platform gives the value of this revision again.
  void serveDocument(std::uint64_t Revision) { ServedDocument_ = Revision; }
  const std::string &newestDocument() const {
    return Documents_.rbegin()->second;
  }
  void publishDocument(std::string Text);
  void publishInstances(std::vector<document::PublishedInstance> Instances);

  const EnvironmentSetup &setup() const { return Setup_; }

private:
  struct OpenedConnection {
    std::string Target_;
    bool IsSilent_ = false;
    std::optional<framework::AttemptId> Carries_;
  };

  void answer(const decision::SendAttempt &Asked, framework::Instant Now);
  void answerWhole(const decision::SendAttempt &Asked, const ScriptedTarget &By,
                   framework::Instant When);
  void take(const decision::OpenConnection &Asked, framework::Instant Now);
  void take(const decision::CloseConnection &Asked, framework::Instant Now);
  void take(const decision::SendAttempt &Asked, framework::Instant Now);
  void take(const decision::ProbeTarget &Asked, framework::Instant Now);
  void take(const decision::ReadDocument &Asked, framework::Instant Now);
  void take(const decision::ReadInstances &Asked, framework::Instant Now);
  void take(const decision::FetchSections &Asked, framework::Instant Now);
  template <typename Other> void take(const Other &, framework::Instant) {}
  std::string nameAt(const std::string &Address) const;
  routing::LoadReport report(const ScriptedTarget &Of) const;

  EnvironmentSetup Setup_;
  std::map<std::string, ScriptedTarget> Targets_;
  std::map<framework::ConnectionId, OpenedConnection> Connections_;
  /// By time, and by the order of scheduling at the same time.
  std::map<std::pair<framework::Instant, std::uint64_t>, decision::Event>
      Replies_;
  std::uint64_t LastReply_ = 0;
  std::set<framework::AttemptId> Late_;
  std::map<std::uint64_t, std::string> Documents_;
  std::uint64_t ServedDocument_ = 1;
  std::uint64_t ListRevision_ = 1;
  bool IsPlatformDown_ = false;
};

} // namespace cranberryspool::session

#endif // CRANBERRYSPOOL_SESSION_SCRIPTEDWORLD_H
