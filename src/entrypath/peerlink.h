#ifndef BERGAMOT_ENTRYPATH_PEERLINK_H
#define BERGAMOT_ENTRYPATH_PEERLINK_H

#include "adaptertcp/httpcaller.h"
#include "entrypath/entry.h"
#include "entrypath/topicfollower.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::entrypath {

/// What entries tell each other. Every entry sends its work per target by
/// datagrams; one that can't reach the store also fetches the records that
/// others have read. Datagrams may be lost: each carries the whole state.
class PeerLink {
public:
  struct Settings {
    std::string Name;
    /// Own address and port, for datagrams and for fetches by other entries.
    boost::asio::ip::udp::endpoint Listen;
    std::chrono::milliseconds LeastPeriod{80};
    std::chrono::milliseconds MostPeriod{400};
    std::chrono::milliseconds FetchPeriod{250};
  };

  PeerLink(boost::asio::io_context &loop, Settings settings, Entry &entry,
           std::vector<TopicFollower *> followers);

  /// Opens the socket and starts sending. Throws base::Error if the port
  /// can't be had.
  void start();
  /// Adds an entry by its address; it is sent to from now on.
  void addPeer(const std::string &name,
               const boost::asio::ip::udp::endpoint &address);
  /// Returns the body for another entry's fetch: the records of a topic with
  /// at least the given offset.
  std::string recordsBody(const std::string &topic, std::uint64_t from) const;

private:
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    base::TimePoint ForgetAt;
  };

  void receive();
  void onDatagram(std::size_t n);
  void sendPeriodically();
  std::string datagram() const;
  void fetchPeriodically();
  void fetch(TopicFollower &follower);
  void onRecords(TopicFollower &follower, const adaptertcp::CallResult &result);

  boost::asio::io_context &Loop;
  Settings Own;
  Entry &Owner;
  std::vector<TopicFollower *> Followers;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer SendTimer;
  boost::asio::steady_timer FetchTimer;
  std::array<char, 8192> Buffer{};
  boost::asio::ip::udp::endpoint Sender;
  std::map<std::string, Peer> Peers;
  std::map<std::string, std::shared_ptr<adaptertcp::HttpCaller>> Callers;
  std::string LastSent;
  base::TimePoint SendAgainAt;
  std::size_t NextPeer = 0;
};

} // namespace bergamot::entrypath

#endif
