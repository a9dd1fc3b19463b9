#include "framework/runtime/bytereservation.h"
#include "framework/runtime/outbox.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace cranberryspool::framework;

TEST_CASE("a mailbox hands over all items of several senders in order",
          "[framework]") {
  constexpr int Senders = 3;
  constexpr int Items = 2000;
  boost::asio::io_context Io(1);
  Mailbox<std::pair<int, int>> Box(64);
  std::vector<int> Last(Senders, 0);
  int Received = 0;
  bool IsOrdered = true;
  Box.attach(Io, [&](std::pair<int, int> &Item) {
    IsOrdered = IsOrdered && Item.second == Last[Item.first] + 1;
    Last[Item.first] = Item.second;
    if (++Received == Senders * Items)
      Io.stop();
  });
  std::vector<std::jthread> Threads;
  for (int Sender = 0; Sender < Senders; ++Sender) {
    Threads.emplace_back([&Box, Sender] {
      for (int Number = 1; Number <= Items; ++Number) {
        std::pair<int, int> Item(Sender, Number);
        while (!Box.tryPush(Item))
          std::this_thread::yield();
      }
    });
  }
  const auto Work = boost::asio::make_work_guard(Io);
  Io.run();
  CHECK(Received == Senders * Items);
  CHECK(IsOrdered);
  Box.detach();
}

TEST_CASE("an outbox keeps what does not fit and sends it in order",
          "[framework]") {
  boost::asio::io_context Sender(1);
  boost::asio::io_context Reader(1);
  Mailbox<int> Box(2);
  Outbox<int> Out(Sender, Box);
  for (int Number = 0; Number < 10; ++Number)
    Out.send(Number);
  CHECK(Out.pending() == 8);
  std::vector<int> Seen;
  Box.attach(Reader, [&Seen](int &Item) { Seen.push_back(Item); });
  while (Seen.size() < 10) {
    Reader.restart();
    Reader.poll();
    Sender.restart();
    Sender.run_one();
  }
  CHECK(Seen == std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
  Box.detach();
}

TEST_CASE("a reservation gives back what it took", "[framework]") {
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
