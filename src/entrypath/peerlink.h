#ifndef BERGAMOT_ENTRYPATH_PEERLINK_H
#define BERGAMOT_ENTRYPATH_PEERLINK_H

#include "adaptertcp/asynchttpclient.h"
#include "entrypath/entry.h"
#include "entrypath/topicfollower.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::entrypath {

/// The exchange of state between entries. Every entry periodically sends the
/// number of its requests in flight at each target to all others, as a
/// datagram. An entry that can't reach the store also fetches the records that
/// other entries have read from the store. What an entry knows of prompts that
/// may crash targets goes out at once if it changes. Datagrams may be lost, so
/// each one contains all counts.
class PeerLink {
public:
  struct Settings {
    std::string Name;
    /// This entry's address and port for datagrams and for fetches by other
    /// entries.
    boost::asio::ip::udp::endpoint Listen;
    std::chrono::milliseconds MinPeriod{80};
    /// The period is at least this time multiplied by the number of peers, so
    /// that reports take a bounded part of an entry's CPU time.
    std::chrono::microseconds PeriodPerPeer{1500};
    /// An unchanged report is sent again after this time.
    std::chrono::milliseconds ResendPeriod{400};
    /// What is known of prompts that may crash targets is sent again after this
    /// time, in case a datagram was lost or an entry was unreachable.
    std::chrono::milliseconds PromptReportPeriod{1000};
    std::chrono::milliseconds MinPromptReportPeriod{100};
    /// What targets have stated of their request rates is sent again after this
    /// time, and after a change not before MinRateReportPeriod.
    std::chrono::milliseconds RateReportPeriod{500};
    std::chrono::milliseconds MinRateReportPeriod{50};
    /// How long after its start an entry asks the others for what they know of
    /// the targets' request rates.
    std::chrono::milliseconds RateQueryPeriod{2000};
    std::chrono::milliseconds FetchPeriod{250};
    /// After this time the set of known entries is considered complete even if
    /// the topic that lists them hasn't been read.
    std::chrono::milliseconds EntryNamesTimeout{500};
  };

  PeerLink(boost::asio::io_context &loop, Settings settings, Entry &entry,
           std::vector<TopicFollower *> followers,
           const TopicFollower &entryNames);

  /// Opens the socket and starts sending. Throws base::Error if the port can't
  /// be bound.
  void start();
  /// Adds an entry or updates its address; reports are sent to it from now on.
  void addPeer(const std::string &name,
               const boost::asio::ip::udp::endpoint &address);
  /// Sets the handler of datagrams that aren't reports of requests in flight.
  void setMessageHandler(std::function<void(std::string_view)> handler) {
    MessageHandler = std::move(handler);
  }
  /// Sends a datagram to another entry, unless that entry is unknown.
  void sendMessage(const std::string &peer, const std::string &bytes);
  /// Returns the names of the other entries that are or may be running.
  std::vector<std::string> peerNames() const;
  /// Returns the response body for another entry's fetch: the records of a
  /// topic from the given position on, in CBOR. The body is empty if the topic
  /// isn't followed or hasn't been loaded.
  std::string encodeRecords(const std::string &topic, TopicPosition from) const;

private:
  struct Peer {
    boost::asio::ip::udp::endpoint Address;
    base::TimePoint ExpiresAt;
  };

  void receive();
  void onDatagram(std::size_t n);
  void sendPeriodically();
  bool isNew() const;
  void onRateReport(std::string_view bytes);
  void sendTo(const boost::asio::ip::udp::endpoint &address,
              const std::string &bytes);
  void sendToAll(const std::string &message);
  void sendPromptReport();
  void sendRateReport();
  void setEntryNames(bool areComplete);
  void fetchPeriodically();
  void fetch(TopicFollower &follower);
  void onRecords(TopicFollower &follower, const adaptertcp::CallResult &result);

  boost::asio::io_context &Loop;
  std::function<void(std::string_view)> MessageHandler;
  Settings Config;
  Entry &Owner;
  std::vector<TopicFollower *> Followers;
  /// Follows the topic that lists the entries.
  const TopicFollower &EntryNamesFollower;
  boost::asio::ip::udp::socket Socket;
  boost::asio::steady_timer SendTimer;
  boost::asio::steady_timer FetchTimer;
  /// Receive buffer of the maximum datagram size.
  std::array<char, 65536> Buffer{};
  boost::asio::ip::udp::endpoint Sender;
  std::map<std::string, Peer> Peers;
  std::map<std::string, std::shared_ptr<adaptertcp::AsyncHttpClient>>
      HttpClients;
  bool EntryNamesChanged = true;
  bool EntryNamesComplete = false;
  base::TimePoint EntryNamesTimeoutAt;
  std::string LastSent;
  base::TimePoint NextResendAt;
  base::TimePoint LastPromptReportAt;
  base::TimePoint NextPromptReportAt;
  base::TimePoint LastRateReportAt;
  base::TimePoint NextRateReportAt;
  std::size_t NextFetchPeer = 0;
};

} // namespace bergamot::entrypath

#endif
