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

/// What entries tell each other. Every entry sends its requests per target by
/// datagrams; one that can't reach the store also fetches the records that
/// others have read. Datagrams may be lost: each carries the whole state.
class PeerLink {
public:
  struct Settings {
    std::string Name;
    /// Own address and port, for datagrams and for fetches by other entries.
    boost::asio::ip::udp::endpoint Listen;
    std::chrono::milliseconds LeastPeriod{80};
    /// Lengthens the period when there are many entries, so that reports take a
    /// bounded part of an entry's processor time.
    std::chrono::microseconds PeriodPerPeer{1500};
    std::chrono::milliseconds MostPeriod{400};
    std::chrono::milliseconds FetchPeriod{250};
    /// The names of the other entries are taken as known after this time, also
    /// without the store.
    std::chrono::milliseconds NamesTimeout{500};
  };

  PeerLink(boost::asio::io_context &loop, Settings settings, Entry &entry,
           std::vector<TopicFollower *> followers, const TopicFollower &names);

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
  void setEntryNames();
  void fetchPeriodically();
  void fetch(TopicFollower &follower);
  void onRecords(TopicFollower &follower, const adaptertcp::CallResult &result);

  boost::asio::io_context &Loop;
  Settings Own;
  Entry &Owner;
  std::vector<TopicFollower *> Followers;
  /// The topic of the entries' names.
  const TopicFollower &Names;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer SendTimer;
  boost::asio::steady_timer FetchTimer;
  /// As large as a datagram can be.
  std::array<char, 65536> Buffer{};
  boost::asio::ip::udp::endpoint Sender;
  std::map<std::string, Peer> Peers;
  std::map<std::string, std::shared_ptr<adaptertcp::HttpCaller>> Callers;
  bool NamesChanged = true;
  base::TimePoint NamesKnownFrom;
  std::string LastSent;
  base::TimePoint SendAgainAt;
  std::size_t NextPeer = 0;
};

} // namespace bergamot::entrypath

#endif
