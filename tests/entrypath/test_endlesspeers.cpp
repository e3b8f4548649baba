// Datagrams of made-up entries without end.
#include "entryfixture.h"
#include "entrypath/peerlink.h"
#include "entrypath/peerreport.h"

#include <catch2/catch.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using namespace std::chrono_literals;
using boost::asio::ip::udp;

TEST_CASE("datagrams of ever new entries don't add peers without end") {
  // Guards against unbounded memory use, and against a report to each of them
  // several times a second.
  constexpr std::size_t MaxPeers = 1024;
  EntryFixture fixture;
  TopicFollower names(fixture.loop(), {}, std::make_unique<SilentTopic>(),
                      [](const auto &, const auto &) {});
  udp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), 0);
  address = udp::socket(fixture.loop(), address).local_endpoint();
  PeerLink link(fixture.loop(), {"self", address}, fixture.entry(), {}, names);
  link.start();
  udp::socket sender(fixture.loop(), udp::v4());
  for (std::size_t i = 0; i < 3 * MaxPeers; ++i) {
    sender.send_to(
        boost::asio::buffer(encodeReport({"made-up-" + std::to_string(i), {}})),
        address);
    if (i % 64 == 0)
      fixture.run(2ms);
  }
  fixture.run(20ms);
  CHECK(link.peerNames().size() >= MaxPeers / 2);
  CHECK(link.peerNames().size() <= MaxPeers);
  // The topic of entries isn't affected.
  link.addPeer("registered", udp::endpoint(address.address(), 9));
  const auto known = link.peerNames();
  CHECK(std::count(known.begin(), known.end(), "registered") == 1);
}
