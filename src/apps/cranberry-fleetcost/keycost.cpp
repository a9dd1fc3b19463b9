#include "keycost.h"
#include "fleet/internal/keytable.h"
#include "fleet/peercodec.h"

#include <malloc.h>

#include <array>
#include <cstdint>
#include <string>

namespace cranberryspool::fleetcost {

namespace {

constexpr std::size_t IpUdpHeaderBytes = 28;
constexpr std::uint64_t RecordCount = 20'000;
constexpr std::uint64_t FirstKeyNumber = 100'000'000'000;

fleet::KeyRecord makeRecord(std::uint64_t Number) {
  fleet::KeyRecord Record;
  Record.Key_ = framework::IdempotencyKey(
      "0190a0f0-0000-7000-8000-" + std::to_string(FirstKeyNumber + Number));
  Record.Runner_ = framework::InstanceName("entry-12");
  Record.RunnerIncarnation_ = framework::Incarnation(1'796'000'000'000'000);
  Record.RunnerAddress_ = "127.0.0.12:7000";
  Record.RunnerCall_ = framework::CallId(1'796'000'000'000'000 + Number);
  return Record;
}

double bytesPerCall() {
  const fleet::KeyRecord Record = makeRecord(0);
  fleet::KeyReply Reply;
  Reply.EchoIncarnation_ = Record.RunnerIncarnation_;
  Reply.Call_ = Record.RunnerCall_;
  const std::array<fleet::PeerMessage, 4> Messages = {
      fleet::KeyRequest{Record.Runner_, Record.RunnerIncarnation_,
                        Record.RunnerAddress_, Record.RunnerCall_, Record.Key_},
      Reply,
      fleet::KeyEnded{Record.Runner_, Record.RunnerIncarnation_,
                      Record.RunnerAddress_, Record.RunnerCall_, Record.Key_,
                      fleet::KeyOutcome::ResponseStored},
      fleet::KeyEndedAck{Record.RunnerIncarnation_, Record.RunnerCall_}};
  std::size_t Bytes = 0;
  for (const fleet::PeerMessage &Message : Messages)
    Bytes += fleet::encodePeerMessage(Message).size() + IpUdpHeaderBytes;
  return static_cast<double>(Bytes);
}

} // namespace

KeyCost measureKeyCost() {
  KeyCost Cost;
  Cost.BytesPerCall_ = bytesPerCall();
  const std::size_t HeapBefore = mallinfo2().uordblks;
  fleet::KeyTable Table;
  for (std::uint64_t Number = 0; Number < RecordCount; ++Number)
    Table.add(makeRecord(Number), framework::WallTime{});
  const std::size_t HeapAfter = mallinfo2().uordblks;
  Cost.BytesPerRecord_ = static_cast<double>(HeapAfter - HeapBefore) /
                         static_cast<double>(RecordCount);
  return Cost;
}

} // namespace cranberryspool::fleetcost
