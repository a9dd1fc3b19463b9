#include "costdocument.h"

#include <algorithm>
#include <array>

namespace cranberryspool::fleetcost {

namespace {

constexpr std::size_t TargetsPerService = 32;
constexpr std::size_t KindsPerService = 4;
constexpr std::array<const char *, 4> Zones = {"north", "south", "east",
                                               "west"};

std::string serviceName(std::size_t Index) {
  return "service-" + std::to_string(Index);
}

std::string groupName(std::size_t Service, std::size_t Zone) {
  return serviceName(Service) + "-" + Zones[Zone];
}

std::string makeKinds(const std::string &Service, std::size_t Deadline) {
  std::string Text;
  for (std::size_t Kind = 0; Kind < KindsPerService; ++Kind) {
    const std::string Name = "kind-" + std::to_string(Kind);
    Text += std::string(Kind > 0 ? "," : "") + R"({"name":")" + Name +
            R"(","method":"POST","path":"/)" + Service + "/" + Name +
            R"(","idempotent":false,"urgency":"ordinary","deadline":")" +
            std::to_string(Deadline) + R"(ms"})";
  }
  return Text;
}

std::string makeService(std::size_t Index, std::size_t Deadline) {
  const std::string Name = serviceName(Index);
  std::string Groups;
  for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone) {
    Groups += std::string(Zone > 0 ? "," : "") + R"({"name":")" +
              groupName(Index, Zone) + R"(","zone":")" + Zones[Zone] + R"("})";
  }
  return R"({"name":")" + Name +
         R"(","slots-per-target":6,"connections-per-target":250,)"
         R"("probes-per-target-per-minute":30,)"
         R"("cold-start":{"max-in-flight":1,"warmup":"10s"},"groups":[)" +
         Groups + R"(],"kinds":[)" + makeKinds(Name, Deadline) + "]}";
}

} // namespace

std::size_t serviceCount(std::size_t Targets) {
  return std::max<std::size_t>(1, Targets / TargetsPerService);
}

std::string makeDocument(std::size_t Services, std::size_t Version) {
  std::string Text = R"({"max-instances":40,"list-lag":"3s","zones":[)";
  for (std::size_t Zone = 0; Zone < Zones.size(); ++Zone)
    Text += std::string(Zone > 0 ? "," : "") + R"({"name":")" + Zones[Zone] +
            R"(","state":"in"})";
  Text += R"(],"services":[)";
  for (std::size_t Index = 0; Index < Services; ++Index) {
    const bool IsChangedService = Index == Version % Services;
    const std::size_t Deadline = 500 + (IsChangedService ? Version : 0);
    Text += std::string(Index > 0 ? "," : "") + makeService(Index, Deadline);
  }
  return Text + "]}";
}

std::vector<document::PublishedInstance> makeTargets(std::size_t Count) {
  const std::size_t Services = serviceCount(Count);
  std::vector<document::PublishedInstance> Targets;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::size_t Service = Index % Services;
    const std::size_t Zone = Index / Services % Zones.size();
    document::PublishedInstance Target;
    Target.Name_ = framework::InstanceName("target-" + std::to_string(Index));
    Target.Group_ = framework::GroupName(groupName(Service, Zone));
    Target.Zone_ = framework::ZoneName(Zones[Zone]);
    Target.Address_ = "10.1." + std::to_string(Index / 250) + "." +
                      std::to_string(Index % 250) + ":8080";
    Targets.push_back(Target);
  }
  return Targets;
}

} // namespace cranberryspool::fleetcost
