#include "trial/trialplan.h"
#include "trial/types/trialreport.h"

#include <catch2/catch.hpp>

using namespace cranberryspool;
using namespace cranberryspool::trial;

namespace {

document::EnvironmentDocument makeDocument() {
  document::EnvironmentDocument Document;
  Document.Zones_ = {
      {framework::ZoneName("a")},
      {framework::ZoneName("b"), document::ZoneState::OutOfService}};
  document::Service Service;
  Service.Name_ = framework::ServiceName("s");
  Service.SlotsPerTarget_ = 5;
  Service.Groups_ = {{framework::GroupName("s-a"), framework::ZoneName("a")},
                     {framework::GroupName("s-b"), framework::ZoneName("b")}};
  document::RequestKind Kind;
  Kind.Name_ = framework::KindName("k");
  Kind.Method_ = "POST";
  Kind.PathPattern_ = "/s/*/rest/**";
  Service.Kinds_ = {Kind};
  Document.Services_ = {Service};
  return Document;
}

} // namespace

TEST_CASE("a trial calls every kind and has targets in every group",
          "[trial]") {
  const TrialPlan Plan(makeDocument(), "text", TrialSettings());
  REQUIRE(Plan.callers().Streams_.size() == 1);
  CHECK(Plan.callers().Streams_[0].Path_ == "/s/{id}/rest/{id}");
  CHECK(Plan.callers().Streams_[0].HasIdempotencyKey_);
  // 20 % of 2 groups x 2 targets x 5 slots are occupied, at 5 ms for each call.
  CHECK(Plan.callers().Streams_[0].Rate_ == Approx(800));
  CHECK(Plan.deployment().Targets_.size() == 4);
  CHECK(Plan.instances().size() == 3);
}

TEST_CASE("a document is promotable only if the trial had calls and no faults",
          "[trial]") {
  TrialReport Report;
  Report.Kinds_ = {KindResult()};
  CHECK_FALSE(isPromotable(Report));
  Report.Kinds_[0].Calls_ = 10;
  CHECK(isPromotable(Report));
  Report.Kinds_[0].Failed_ = 1;
  CHECK_FALSE(isPromotable(Report));
  Report.Kinds_[0].Failed_ = 0;
  Report.Kinds_[0].RunTwice_ = 1;
  CHECK_FALSE(isPromotable(Report));
  Report.Kinds_[0].RunTwice_ = 0;
  Report.UncleanStops_ = 1;
  CHECK_FALSE(isPromotable(Report));
}
