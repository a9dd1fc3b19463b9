#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENT_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENT_H

#include "calls/types/kindid.h"
#include "decision/internal/matchedkind.h"
#include "document/kindindex.h"
#include "document/routeindex.h"
#include "document/types/environmentdocument.h"
#include "document/types/publishedinstance.h"
#include "fleet/types/publishedtarget.h"
#include "framework/ids.h"
#include "framework/interner.h"
#include "routing/types/targetdescription.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryspool::decision {

/// The document and the instance list in force, with names mapped to dense
/// numeric identifiers of this instance.
class Environment {
public:
  void setDocument(const document::EnvironmentDocument &Document);
  void setInstances(std::vector<document::PublishedInstance> Instances);
  /// Sets targets from the platform's metadata store, which name their service
  /// and zone themselves. They replace the targets of the instance list.
  void setStoredTargets(std::vector<fleet::PublishedTarget> Targets);

  bool hasDocument() const { return Document_.has_value(); }
  framework::Digest digest() const { return Digest_; }
  bool hasInstances() const { return HasInstances_; }
  const std::optional<document::EnvironmentDocument> &document() const {
    return Document_;
  }

  /// Returns the whole instance list: targets and instances of this load
  /// balancer.
  const std::vector<document::PublishedInstance> &instances() const {
    return Instances_;
  }
  /// Returns the number of load balancer instances on the list, at least 1.
  std::uint32_t instanceCount() const;

  /// Returns the request kind that matches a request under the document in
  /// force. `RandomFraction`, between 0 and 1, selects the service of a split
  /// route.
  std::optional<MatchedKind> match(std::string_view Method,
                                   std::string_view Host, std::string_view Path,
                                   double RandomFraction) const;

  /// Returns the listed targets that belong to a service of the document,
  /// sorted by identifier.
  const std::vector<routing::TargetDescription> &targets() const {
    return Targets_;
  }
  /// Returns true if the target is listed and neither the target nor its zone
  /// is leaving.
  bool acceptsWork(framework::TargetId Target) const;
  const document::Service *service(framework::ServiceId Service) const;
  const std::string &address(framework::TargetId Target) const;
  /// Returns the path of the target's health check, or an empty string for the
  /// default.
  std::string healthPath(framework::TargetId Target) const;
  const framework::TargetName &targetName(framework::TargetId Target) const;
  std::optional<framework::TargetId>
  findTarget(const framework::TargetName &Name) const;
  const framework::KindName &kindName(calls::KindId Kind) const;
  const framework::ServiceName &serviceName(framework::ServiceId Service) const;
  std::optional<framework::ServiceId>
  findService(const framework::ServiceName &Name) const;
  /// Returns null when the document in force has no such workspace.
  const document::Workspace *
  findWorkspace(const framework::WorkspaceName &Name) const;
  framework::WorkspaceId internWorkspace(const framework::WorkspaceName &Name);
  const framework::WorkspaceName &
  workspaceName(framework::WorkspaceId Workspace) const;
  const framework::ZoneName &zoneName(framework::ZoneId Zone) const;
  framework::ZoneId internZone(const framework::ZoneName &Name);
  /// Returns the identifier under which calls are forwarded to another
  /// instance, and sets the address for it. It belongs to no service, so that
  /// it is never chosen as a target.
  framework::TargetId internPeer(const framework::InstanceName &Name,
                                 const std::string &Address);
  bool isPeer(framework::TargetId Target) const {
    return Peers_.contains(Target);
  }

private:
  struct GroupInfo {
    framework::ServiceId Service_;
    framework::ZoneName Zone_;
    std::uint32_t Slots_ = 1;
    bool IsZoneOut_ = false;
  };
  using KindKey = std::pair<framework::ServiceName, framework::KindName>;

  std::optional<MatchedKind> matchRoute(std::string_view Host,
                                        std::string_view Path,
                                        double RandomFraction) const;
  std::vector<routing::TargetDescription>::const_iterator
  find(framework::TargetId Target) const;
  void rebuildTargets();
  void addListedTargets();
  void addStoredTargets();
  void addTarget(const framework::TargetName &Name, const std::string &Address,
                 routing::TargetDescription Description);
  void setAddress(framework::TargetId Target, const std::string &Address);
  std::map<framework::GroupName, GroupInfo> collectGroups();

  std::optional<document::EnvironmentDocument> Document_;
  framework::Digest Digest_;
  document::KindIndex Kinds_;
  document::RouteIndex Routes_;
  /// Indexed by the position of the route in the document.
  std::vector<calls::KindId> RouteKindIds_;
  std::vector<document::PublishedInstance> Instances_;
  bool HasInstances_ = false;
  std::vector<fleet::PublishedTarget> StoredTargets_;

  framework::Interner<framework::ServiceName, framework::ServiceId> Services_;
  framework::Interner<framework::TargetName, framework::TargetId> TargetNames_;
  framework::Interner<framework::ZoneName, framework::ZoneId> Zones_;
  framework::Interner<framework::WorkspaceName, framework::WorkspaceId>
      Workspaces_;
  std::map<framework::WorkspaceName, const document::Workspace *>
      WorkspacesByName_;
  framework::Interner<KindKey, calls::KindId> KindNames_;
  /// Indexed by the positions of the service and the kind in the document.
  std::vector<std::vector<calls::KindId>> KindIdsByService_;
  std::map<framework::ServiceId, const document::Service *> ServicesById_;
  std::vector<std::string> Addresses_;
  std::set<framework::TargetId> Peers_;
  std::vector<routing::TargetDescription> Targets_;
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_ENVIRONMENT_H
