#include "framework/runtime/bytereservation.h"
#include "framework/runtime/outbox.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace cranberryspool::framework;

TEST_CASE("a mailbox delivers all items of several senders in order",
          "[framework]") {
  constexpr int SenderCount = 3;
  constexpr int ItemsPerSender = 2000;
  boost::asio::io_context Io(1);
  Mailbox<std::pair<int, int>> TestMailbox(64);
  std::vector<int> LastNumbers(SenderCount, 0);
  int Received = 0;
  bool IsOrdered = true;
  TestMailbox.attach(Io, [&](std::pair<int, int> &Item) {
    IsOrdered = IsOrdered && Item.second == LastNumbers[Item.first] + 1;
    LastNumbers[Item.first] = Item.second;
    if (++Received == SenderCount * ItemsPerSender)
      Io.stop();
  });
  std::vector<std::jthread> Threads;
  for (int Sender = 0; Sender < SenderCount; ++Sender) {
    Threads.emplace_back([&TestMailbox, Sender] {
      for (int Number = 1; Number <= ItemsPerSender; ++Number) {
        std::pair<int, int> Item(Sender, Number);
        while (!TestMailbox.tryPush(Item))
          std::this_thread::yield();
      }
    });
  }
  const auto WorkGuard = boost::asio::make_work_guard(Io);
  Io.run();
  CHECK(Received == SenderCount * ItemsPerSender);
  CHECK(IsOrdered);
  TestMailbox.detach();
}

TEST_CASE(
    "an outbox keeps items that the mailbox rejects and sends them in order",
    "[framework]") {
  boost::asio::io_context Sender(1);
  boost::asio::io_context Reader(1);
  Mailbox<int> TestMailbox(2);
  Outbox<int> TestOutbox(Sender, TestMailbox);
  for (int Number = 0; Number < 10; ++Number)
    TestOutbox.send(Number);
  CHECK(TestOutbox.pending() == 8);
  std::vector<int> ReceivedItems;
  TestMailbox.attach(
      Reader, [&ReceivedItems](int &Item) { ReceivedItems.push_back(Item); });
  while (ReceivedItems.size() < 10) {
    Reader.restart();
    Reader.poll();
    Sender.restart();
    Sender.run_one();
  }
  CHECK(ReceivedItems == std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
  TestMailbox.detach();
}

TEST_CASE("a reservation releases the bytes that it reserved", "[framework]") {
  ByteBudget Budget(100);
  {
    ByteReservation First;
    REQUIRE(First.tryReserve(Budget, 80));
    ByteReservation Second;
    CHECK_FALSE(Second.tryReserve(Budget, 30));
    First.shrink(50);
    CHECK(Second.tryReserve(Budget, 30));
    ByteReservation Moved = std::move(First);
    CHECK(Moved.bytes() == 50);
    CHECK(Budget.used() == 80);
  }
  CHECK(Budget.used() == 0);
}
