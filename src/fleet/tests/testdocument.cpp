#include "fleet/tests/testdocument.h"

namespace cranberryspool::fleet {

std::string makeDocument(bool IsLekkiIn) {
  return std::string(R"({
    "max-instances": 15,
    "list-lag": "3s",
    "zones": [
      {"name": "ikeja", "state": "in"},
      {"name": "lekki", "state": ")") +
         (IsLekkiIn ? "in" : "out") + R"("},
      {"name": "yaba", "state": "in"}
    ],
    "services": [{
      "name": "quickcheck",
      "slots-per-target": 6,
      "connections-per-target": 250,
      "probes-per-target-per-minute": 30,
      "cold-start": {"max-in-flight": 1, "warmup": "10s"},
      "groups": [{"name": "quickcheck-lekki", "zone": "lekki"}],
      "kinds": [{
        "name": "check", "method": "POST", "path": "/quickcheck/checks",
        "idempotent": true, "urgency": "urgent", "deadline": "500ms"
      }]
    }]
  })";
}

std::vector<document::PublishedInstance> makeTargets(std::size_t Count) {
  std::vector<document::PublishedInstance> Targets;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    document::PublishedInstance Target;
    Target.Name_ =
        framework::InstanceName("quickcheck-" + std::to_string(Index));
    Target.Group_ = framework::GroupName("quickcheck-lekki");
    Target.Zone_ = framework::ZoneName("lekki");
    Target.Address_ = "10.0.1." + std::to_string(Index) + ":8080";
    Targets.push_back(Target);
  }
  return Targets;
}

} // namespace cranberryspool::fleet
