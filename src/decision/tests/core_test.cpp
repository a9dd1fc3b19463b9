#include "decision/core.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::decision;

TEST_CASE("a call without a document is refused as not run", "[decision]") {
  Core Instance(CoreSettings{framework::InstanceName("entry-1"),
                             framework::Incarnation(1),
                             framework::ZoneName("ikeja")},
                framework::Random(1));
  ActionList Actions;
  CallArrived Arrival;
  Arrival.Call_ = framework::CallId(1);
  Instance.handle(framework::Moment{}, Arrival, Actions);
  REQUIRE(Actions.size() == 1);
  const auto &Refusal = std::get<RefuseCall>(Actions.front());
  CHECK(Refusal.Call_ == framework::CallId(1));
  CHECK(Refusal.Ending_ == calls::Ending::NotRun);
}
