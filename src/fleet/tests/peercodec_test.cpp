#include "fleet/peercodec.h"
#include "framework/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <string_view>
#include <type_traits>

using namespace cranberryspool;
using namespace cranberryspool::fleet;

namespace {

PeerView makeView() {
  PeerView View;
  View.DocumentRevision_ = framework::Revision(70'000);
  View.DocumentAge_ = std::chrono::milliseconds(1300);
  View.ListRevision_ = framework::Revision(1'000'000);
  View.MembersDigest_ = framework::Digest(0xfedcba9876543210);
  return View;
}

std::vector<PeerMessage> makeMessages() {
  const framework::InstanceName Name("entry-12");
  const framework::Incarnation Incarnation(1'796'000'000'000'000);
  const framework::IdempotencyKey Key("0190a0f0-0000-7000-8000-000000000001");
  const std::string Address = "127.0.0.12:7000";
  const KeyRecord Record{Key,
                         Name,
                         Incarnation,
                         Address,
                         framework::CallId(9),
                         KeyOutcome::ResponseStored};
  routing::LoadReport Report;
  Report.InFlight_ = 2;
  Report.SlowdownPercent_ = 700;
  Report.WarmupLeft_ = std::chrono::milliseconds(1500);
  return {
      Heartbeat{Name,
                Incarnation,
                900,
                Address,
                makeView(),
                {RestartNotice{framework::TargetName("t1"), Incarnation}},
                true},
      HeartbeatAck{Name,
                   Incarnation,
                   Address,
                   Incarnation,
                   900,
                   Incarnation,
                   makeView(),
                   {},
                   WarmTargets{framework::Revision(3), {0xff, 1}}},
      KeyRequest{Name, Incarnation, Address, framework::CallId(5), Key},
      KeyReply{Incarnation, framework::CallId(5), KeyDecision::Replay, Name,
               Incarnation, Address, framework::CallId(8)},
      KeyEnded{Name, Incarnation, Address, framework::CallId(5), Key,
               KeyOutcome::NotRun},
      KeyEndedAck{Incarnation, framework::CallId(5)},
      KeyHandover{Name,
                  Incarnation,
                  Address,
                  Incarnation,
                  framework::Digest(4),
                  framework::Revision(6),
                  1,
                  2,
                  framework::WallTime(std::chrono::seconds(5)),
                  {Record, Record}},
      KeyHandoverAck{Name, Incarnation, framework::Digest(4), 1},
      GossipMessage{
          {MemberInfo{Name, Incarnation, framework::ZoneName("a"), Address, {}},
           MemberInfo{framework::InstanceName("entry-13"), Incarnation,
                      framework::ZoneName("b"), "127.0.0.13:7000",
                      std::chrono::milliseconds(700)}},
          true,
          false},
      LoadUpdate{Name,
                 Incarnation,
                 {TargetLoad{framework::TargetName("t1"), Report,
                             std::chrono::milliseconds(12)},
                  TargetLoad{}}},
      RecordUpdate{
          Name,
          Incarnation,
          framework::Revision(7),
          framework::Revision(9),
          std::chrono::milliseconds(3),
          framework::WallTime(std::chrono::seconds(5)),
          {ReplicatedRecord{
               "servers/t1", {0, 0xff, 'x'}, framework::Revision(8), false},
           ReplicatedRecord{"servers/t2", {}, framework::Revision(9), true}}},
      RecordFragment{Name,
                     framework::Revision(7),
                     framework::Revision(9),
                     std::chrono::milliseconds(3),
                     framework::WallTime(std::chrono::seconds(5)),
                     "configuration",
                     1,
                     4,
                     {0, 0xff, 'x'}},
      CrashUpdate{Name,
                  Incarnation,
                  {CrashNotice{{~std::uint64_t{0}, 7},
                               {{framework::TargetName("t1"),
                                 std::chrono::milliseconds(20)},
                                {framework::TargetName("t2"), {}}},
                               std::chrono::seconds(9)},
                   CrashNotice{}}},
      quotas::QuotaRequest{Name,
                           Incarnation,
                           framework::WorkspaceName("w1"),
                           900,
                           true,
                           1'500'000,
                           70,
                           {48, std::chrono::seconds(2)}},
      quotas::QuotaGrant{Name,
                         Incarnation,
                         Incarnation,
                         900,
                         framework::WorkspaceName("w1"),
                         1'000'000,
                         std::chrono::milliseconds(40),
                         {48, std::chrono::seconds(2)}},
      capacity::DemandUpdate{
          Name, Incarnation, 12, {{framework::ServiceName("s"), 40}, {}}},
      RecordRequest{Name,
                    Incarnation,
                    framework::Revision(7),
                    std::chrono::milliseconds(300),
                    framework::Revision(9),
                    {0, 31, 1'099}},
      RecordPart{Name,
                 framework::Revision(7),
                 framework::Revision(9),
                 std::chrono::milliseconds(3),
                 framework::WallTime(std::chrono::seconds(5)),
                 "configuration",
                 framework::Revision(8),
                 20'000,
                 1,
                 4,
                 {0, 0xff, 'x'}},
      StoreAvailability{Name, Incarnation, std::chrono::milliseconds(3),
                        std::chrono::seconds(60)},
      ViewReplaced{Name, Incarnation, framework::Revision(77),
                   0x0123456789abcdef},
  };
}

} // namespace

TEST_CASE("each peer message decodes to what was encoded", "[fleet]") {
  const std::vector<PeerMessage> Messages = makeMessages();
  REQUIRE(Messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage &Message : Messages) {
    const auto Encoded = encodePeerMessage(Message);
    REQUIRE(Encoded.size() <= MaxDatagramBytes);
    auto Decoded = decodePeerMessage(Encoded);
    REQUIRE(Decoded);
    CHECK(Decoded.value() == Message);
  }
}

TEST_CASE("each peer message keeps its recorded bytes", "[fleet]") {
  // A line of hexadecimal digits for each message, in the order of the
  // alternatives. Instances of different builds run side by side, so a change
  // of any line separates them.
  std::ifstream Recorded("src/fleet/tests/corpus/recorded-messages.hex");
  for (const PeerMessage &Message : makeMessages()) {
    std::string Expected;
    REQUIRE(std::getline(Recorded, Expected));
    std::string Bytes;
    for (const std::uint8_t Byte : encodePeerMessage(Message)) {
      constexpr std::string_view Digits = "0123456789abcdef";
      Bytes += Digits[Byte >> 4];
      Bytes += Digits[Byte & 15];
    }
    CHECK(Bytes == Expected);
  }
}

TEST_CASE("negative and non-numeric credits are not decoded", "[fleet]") {
  // The amount of a grant as a negative integer, NaN, infinity and text; a
  // decoder that converted them would hand out credits that no one has.
  const PeerMessage Grant = quotas::QuotaGrant{
      framework::InstanceName("a"),  framework::Incarnation(1),
      framework::Incarnation(1),     1,
      framework::WorkspaceName("w"), 23,
      framework::Duration(1),        {}};
  const std::vector<std::uint8_t> Encoded = encodePeerMessage(Grant);
  const std::vector<std::vector<std::uint8_t>> Amounts = {
      {0x20}, {0xf9, 0x7e, 0x00}, {0xf9, 0x7c, 0x00}, {0x61, '1'}};
  for (const auto &Amount : Amounts) {
    std::vector<std::uint8_t> Changed = Encoded;
    const auto Position = std::find(Changed.begin(), Changed.end(), 23);
    REQUIRE(Position != Changed.end());
    Changed.insert(Changed.erase(Position), Amount.begin(), Amount.end());
    CHECK_FALSE(decodePeerMessage(Changed));
  }
  CHECK(decodePeerMessage(Encoded));
}

TEST_CASE("truncated and extended messages are rejected", "[fleet]") {
  for (const PeerMessage &Message : makeMessages()) {
    auto Encoded = encodePeerMessage(Message);
    for (std::size_t Size = 0; Size < Encoded.size(); ++Size)
      REQUIRE_FALSE(decodePeerMessage(std::span(Encoded.data(), Size)));
    Encoded.push_back(0);
    REQUIRE(decodePeerMessage(Encoded).error() == DecodeFailure::TrailingBytes);
  }
}

TEST_CASE("corrupted and malicious datagrams are rejected safely", "[fleet]") {
  framework::Random Rng(11);
  const std::vector<PeerMessage> Messages = makeMessages();
  std::size_t Refused = 0;
  for (int Round = 0; Round < 20'000; ++Round) {
    auto Encoded = encodePeerMessage(Messages[Rng.index(Messages.size())]);
    for (std::size_t Corruptions = 1 + Rng.index(4); Corruptions > 0;
         --Corruptions)
      Encoded[Rng.index(Encoded.size())] =
          static_cast<std::uint8_t>(Rng.index(256));
    if (!decodePeerMessage(Encoded))
      ++Refused;
  }
  CHECK(Refused > 1'000);
  const std::vector<std::uint8_t> HugeArray = {0x9b, 0xff, 0xff, 0xff, 0xff,
                                               0xff, 0xff, 0xff, 0xff};
  CHECK(decodePeerMessage(HugeArray).error() == DecodeFailure::ValueOutOfRange);
  CHECK(decodePeerMessage(std::vector<std::uint8_t>(MaxDatagramBytes + 1))
            .error() == DecodeFailure::TooLarge);
  const std::vector<std::uint8_t> OtherVersion = {0x83, 2, 0, 0};
  CHECK(decodePeerMessage(OtherVersion).error() ==
        DecodeFailure::UnknownVersion);
  const std::vector<std::uint8_t> OtherMessage = {0x83, 1, 0x17, 0};
  CHECK(decodePeerMessage(OtherMessage).error() ==
        DecodeFailure::UnknownMessage);
}
