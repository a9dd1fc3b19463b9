#include "calls/attemptidgenerator.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace cranberryspool;
using namespace cranberryspool::calls;

TEST_CASE("instances and incarnations generate distinct attempt ids",
          "[calls]") {
  std::set<framework::AttemptId> Seen;
  for (std::uint64_t Instance = 0; Instance < 65; ++Instance)
    for (std::uint64_t Start = 1; Start <= 4; ++Start) {
      AttemptIdGenerator Numbers(
          framework::InstanceName("entry-" + std::to_string(Instance)),
          framework::Incarnation(Start));
      for (std::uint32_t Count = 0; Count < 100; ++Count)
        CHECK(Seen.insert(Numbers.next()).second);
    }
}
