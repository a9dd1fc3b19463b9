#include "document/sections.h"
#include "fleet/internal/instancestore.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::fleet;

namespace {

document::PublishedInstance makeTarget(const std::string &Name,
                                       const std::string &Group) {
  document::PublishedInstance Target;
  Target.Name_ = framework::InstanceName(Name);
  Target.Group_ = framework::GroupName(Group);
  Target.Zone_ = framework::ZoneName("ikeja");
  Target.Address_ = "127.0.1.1:80";
  return Target;
}

} // namespace

TEST_CASE("a peer's reply holds only the sections that changed", "[fleet]") {
  InstanceStore Receiver;
  InstanceStore Sender;
  Receiver.updateFromList(framework::Revision(1),
                          {makeTarget("a1", "a"), makeTarget("b1", "b")});
  Sender.updateFromList(framework::Revision(2),
                        {makeTarget("a1", "a"), makeTarget("b2", "b")});
  const SectionRequest Request{SectionKind::Instances,
                               Receiver.sections().manifest()};
  const SectionReply Reply =
      Sender.sections().reply(Request, framework::Revision(2));
  REQUIRE(Reply.Changed_.size() == 1);
  CHECK(Reply.Changed_.front().Name_ == "group/b");
  CHECK(Receiver.updateFromSections(Reply) == UpdateResult::Accepted);
  CHECK(Receiver.targets() == Sender.targets());
  CHECK(Receiver.updateFromSections(Reply) == UpdateResult::Unchanged);
}

TEST_CASE("a reply with a mismatching or missing section is not accepted",
          "[fleet]") {
  InstanceStore Store;
  Store.updateFromList(framework::Revision(1), {makeTarget("a1", "a")});
  SectionReply Reply;
  Reply.Kind_ = SectionKind::Instances;
  Reply.Revision_ = framework::Revision(2);
  Reply.Manifest_ = {SectionDigest{"group/z", framework::Digest(7)}};
  CHECK(Store.updateFromSections(Reply) == UpdateResult::Incomplete);
  Reply.Changed_ = {
      document::DocumentSection{"group/z", framework::Digest(7), "[]"}};
  CHECK(Store.updateFromSections(Reply) == UpdateResult::Incomplete);
  CHECK(Store.revision() == framework::Revision(1));
}

TEST_CASE("a lower revision of the list is ignored", "[fleet]") {
  InstanceStore Store;
  Store.updateFromList(framework::Revision(5), {makeTarget("a1", "a")});
  CHECK(Store.updateFromList(framework::Revision(4), {}) ==
        UpdateResult::Stale);
  CHECK(Store.targets().size() == 1);
  CHECK(Store.findTarget(framework::TargetName("a1")) != nullptr);
  CHECK(Store.findTarget(framework::TargetName("a2")) == nullptr);
}
