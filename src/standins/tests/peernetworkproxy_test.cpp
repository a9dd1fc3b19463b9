#include "standins/address.h"
#include "standins/peernetworkproxy.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/udp.hpp>

#include <array>

using namespace cranberryspool::standins;
using boost::asio::ip::udp;

namespace {

udp::socket makeSocket(boost::asio::io_context &Context, const char *Ip) {
  return udp::socket(Context,
                     udp::endpoint(boost::asio::ip::make_address(Ip), 17400));
}

} // namespace

TEST_CASE(
    "the peer network proxy relays datagrams and drops them across a partition",
    "[standins]") {
  boost::asio::io_context Context;
  udp::socket First = makeSocket(Context, "127.0.91.1");
  udp::socket Second = makeSocket(Context, "127.0.91.2");
  PeerNetworkProxy Network(Context,
                           {{"a", "127.0.92.1:17400", "127.0.91.1:17400"},
                            {"b", "127.0.92.2:17400", "127.0.91.2:17400"}});
  const udp::endpoint Published(boost::asio::ip::make_address("127.0.92.2"),
                                17400);
  const std::array<char, 1> Byte = {'x'};
  First.send_to(boost::asio::buffer(Byte), Published);
  while (Network.relayedDatagrams() == 0)
    Context.run_one();
  std::array<char, 8> Received{};
  CHECK(Second.receive(boost::asio::buffer(Received)) == 1);
  Network.partition({"a"});
  First.send_to(boost::asio::buffer(Byte), Published);
  while (Network.droppedDatagrams() == 0)
    Context.run_one();
  CHECK(Network.relayedDatagrams() == 1);
  Network.partition({});
  First.send_to(boost::asio::buffer(Byte), Published);
  while (Network.relayedDatagrams() == 1)
    Context.run_one();
  CHECK(Network.droppedDatagrams() == 1);
}
