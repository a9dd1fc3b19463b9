#include "decision/tests/corefixture.h"

namespace cranberryspool::decision {

namespace {

constexpr const char *DocumentText = R"({
  "max-instances": 4,
  "list-lag": "1s",
  "zones": [{"name": "ikeja", "state": "in"}],
  "services": [{
    "name": "certdesk",
    "slots-per-target": 4,
    "connections-per-target": 32,
    "probes-per-target-per-minute": 30,
    "cold-start": {"max-in-flight": 4, "warmup": "1s"},
    "groups": [{"name": "certdesk-ikeja", "zone": "ikeja"}],
    "kinds": [
      {"name": "look-up", "method": "GET", "path": "/certificates/*",
       "idempotent": true, "urgency": "urgent", "deadline": "500ms",
       "hedging": true},
      {"name": "issue", "method": "POST", "path": "/certificates",
       "idempotent": false, "urgency": "ordinary", "deadline": "2s"}
    ],
    "objectives": []
  }]
})";

document::PublishedInstance target(const std::string &Name,
                                   const std::string &Address) {
  return document::PublishedInstance{.Name_ = framework::InstanceName(Name),
                                     .Group_ =
                                         framework::GroupName("certdesk-ikeja"),
                                     .Zone_ = framework::ZoneName("ikeja"),
                                     .Address_ = Address};
}

} // namespace

void CoreFixture::startUp() {
  tell(Tick{});
  tell(DocumentPublished{framework::Revision(1), DocumentText});
  const document::PublishedInstance Self{.Name_ =
                                             framework::InstanceName("entry-1"),
                                         .Group_ = std::nullopt,
                                         .Zone_ = framework::ZoneName("ikeja"),
                                         .Address_ = "127.0.0.1:7000"};
  tell(InstancesPublished{framework::Revision(1),
                          {Self, target("cert-1", "127.0.1.1:80"),
                           target("cert-2", "127.0.1.2:80")}});
  pass(std::chrono::milliseconds(100));
  openAll();
}

CallArrived CoreFixture::call(std::uint64_t Id, bool IsIdempotent) const {
  CallArrived Arrival;
  Arrival.Call_ = framework::CallId(Id);
  Arrival.Method_ = IsIdempotent ? "GET" : "POST";
  Arrival.Path_ = IsIdempotent ? "/certificates/7" : "/certificates";
  return Arrival;
}

} // namespace cranberryspool::decision
