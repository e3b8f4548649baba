#include "entrypath/peerlink.h"

#include "entrypath/peerreport.h"
#include "entrypath/promptreport.h"
#include "entrypath/ratereport.h"
#include "entrypath/recordmessage.h"
#include "libbergamotbase/error.h"
#include "libbergamotbase/jsonlog.h"

#include <nlohmann/json.hpp>

namespace bergamot::entrypath {

using base::TimePoint;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// A peer is removed if neither a report nor a record of it arrives within this
/// time. The time is long because network partitions may last long and
/// datagrams to an absent entry are cheap.
constexpr std::chrono::seconds PeerLifetime{60};
constexpr milliseconds FetchTimeout{600};
/// Limit on the peers that are added because of their datagrams, since a faulty
/// host may send ever new names. All 330 entries may have been replaced within
/// PeerLifetime.
constexpr std::size_t MaxPeers = 1024;

} // namespace

PeerLink::PeerLink(boost::asio::io_context &loop, Settings settings,
                   Entry &entry, std::vector<TopicFollower *> followers,
                   const TopicFollower &entryNames)
    : Loop(loop), Config(std::move(settings)), Owner(entry),
      Followers(std::move(followers)), EntryNamesFollower(entryNames),
      Socket(loop), SendTimer(loop), FetchTimer(loop) {}

void PeerLink::start() {
  try {
    Socket.open(Config.Listen.protocol());
    Socket.bind(Config.Listen);
    Socket.non_blocking(true);
  } catch (const std::exception &e) {
    throw base::Error(base::Step::Settings, Config.Listen.address().to_string(),
                      e.what());
  }
  EntryNamesTimeoutAt = Owner.now() + Config.EntryNamesTimeout;
  // Changes in quick succession, as in the loss of a failure domain, go out
  // together with the next periodic report.
  Owner.setPromptEvidenceHandler([this] {
    if (Owner.now() < LastPromptReportAt + Config.MinPromptReportPeriod)
      NextPromptReportAt = Owner.now();
    else
      sendPromptReport();
  });
  Owner.setRateLimitHandler([this] {
    if (Owner.now() < LastRateReportAt + Config.MinRateReportPeriod)
      NextRateReportAt = Owner.now();
    else
      sendRateReport();
  });
  receive();
  sendPeriodically();
  fetchPeriodically();
}

void PeerLink::addPeer(const std::string &name,
                       const boost::asio::ip::udp::endpoint &address) {
  if (name == Config.Name || address == Config.Listen)
    return;
  const TimePoint now = Owner.now();
  const auto [it, added] = Peers.try_emplace(name);
  it->second.ExpiresAt = now + PeerLifetime;
  if (it->second.Address != address) {
    it->second.Address = address;
    HttpClients.erase(name);
  }
  if (!added)
    return;
  EntryNamesChanged = true;
  if (isNew())
    sendTo(address, encodeRateReport({}, now));
  base::logInfo("peer.added",
                {{"peer", name}, {"address", address.address().to_string()}});
}

void PeerLink::receive() {
  Socket.async_receive_from(boost::asio::buffer(Buffer), Sender,
                            [this](const error_code &ec, std::size_t n) {
                              if (ec == boost::asio::error::operation_aborted)
                                return;
                              if (!ec)
                                onDatagram(n);
                              receive();
                            });
}

void PeerLink::onDatagram(std::size_t n) {
  const std::string_view bytes(Buffer.data(), n);
  if (isPromptReport(bytes)) {
    if (const auto evidence = decodePromptReport(bytes, Owner.now()))
      Owner.mergePromptEvidence(*evidence);
    return;
  }
  if (isRateReport(bytes)) {
    onRateReport(bytes);
    return;
  }
  if (MessageHandler && !isReport(bytes)) {
    MessageHandler(bytes);
    return;
  }
  auto report = decodeReport(bytes);
  if (!report) {
    Owner.eventLog().write("peer.malformed",
                           {{"from", Sender.address().to_string()}},
                           Owner.now());
    return;
  }
  if (report->Entry == Config.Name)
    return;
  if (Peers.size() >= MaxPeers && !Peers.contains(report->Entry)) {
    Owner.eventLog().write(
        "peer.too_many", {{"from", Sender.address().to_string()}}, Owner.now());
    return;
  }
  addPeer(report->Entry, Sender);
  Owner.setPeerRequestCounts(report->Entry, std::move(report->Counts));
}

void PeerLink::onRateReport(std::string_view bytes) {
  const auto statements = decodeRateReport(bytes, Owner.now());
  if (!statements)
    return;
  Owner.mergeRateStatements(*statements);
  if (!statements->empty())
    return;
  const auto known = Owner.rateLimits().allStatements();
  if (!known.empty())
    sendTo(Sender, encodeRateReport(known, Owner.now()));
}

/// Sends a datagram. Errors are ignored, as lost datagrams are: messages are
/// repeated.
void PeerLink::sendTo(const boost::asio::ip::udp::endpoint &address,
                      const std::string &bytes) {
  error_code ec;
  Socket.send_to(boost::asio::buffer(bytes), address, 0, ec);
}

void PeerLink::sendMessage(const std::string &peer, const std::string &bytes) {
  const auto it = Peers.find(peer);
  if (it != Peers.end())
    sendTo(it->second.Address, bytes);
}

void PeerLink::sendToAll(const std::string &message) {
  for (const auto &[name, peer] : Peers)
    sendTo(peer.Address, message);
}

void PeerLink::sendPromptReport() {
  const TimePoint now = Owner.now();
  LastPromptReportAt = now;
  NextPromptReportAt = now + Config.PromptReportPeriod;
  const auto evidence = Owner.promptSuspects().evidence();
  if (!evidence.empty())
    sendToAll(encodePromptReport(evidence, now));
}

/// Returns whether this entry has just started and asks the others what they
/// know of the targets' request rates.
bool PeerLink::isNew() const {
  return Owner.now() < Owner.settings().StartedAt + Config.RateQueryPeriod;
}

void PeerLink::sendRateReport() {
  const TimePoint now = Owner.now();
  LastRateReportAt = now;
  NextRateReportAt = now + Config.RateReportPeriod;
  if (isNew())
    sendToAll(encodeRateReport({}, now));
  const auto statements = Owner.rateLimits().ownStatements();
  if (!statements.empty())
    sendToAll(encodeRateReport(statements, now));
}

std::vector<std::string> PeerLink::peerNames() const {
  std::vector<std::string> names;
  for (const auto &[name, peer] : Peers)
    names.push_back(name);
  return names;
}

void PeerLink::sendPeriodically() {
  const TimePoint now = Owner.now();
  const std::string message = encodeReport({Config.Name, Owner.takeReport()});
  if (message != LastSent || now >= NextResendAt) {
    sendToAll(message);
    LastSent = message;
    NextResendAt = now + Config.ResendPeriod;
  }
  const bool hasAnswer = Owner.promptSuspects().takePendingAnswer();
  if (hasAnswer || now >= NextPromptReportAt)
    sendPromptReport();
  if (now >= NextRateReportAt)
    sendRateReport();
  std::erase_if(Peers, [&](const auto &it) {
    const bool expired = it.second.ExpiresAt <= now;
    if (expired) {
      HttpClients.erase(it.first);
      EntryNamesChanged = true;
    }
    return expired;
  });
  const bool loaded = EntryNamesFollower.isLoaded();
  if ((EntryNamesChanged && now >= EntryNamesTimeoutAt) ||
      (loaded && (EntryNamesChanged || !EntryNamesComplete)))
    setEntryNames(loaded);
  SendTimer.expires_after(std::max<base::Duration>(
      Config.MinPeriod,
      Config.PeriodPerPeer * static_cast<std::int64_t>(Peers.size())));
  SendTimer.async_wait([this](const error_code &ec) {
    if (!ec)
      sendPeriodically();
  });
}

void PeerLink::setEntryNames(bool areComplete) {
  std::set<std::string> names;
  for (const auto &[name, peer] : Peers)
    names.insert(name);
  EntryNamesChanged = false;
  EntryNamesComplete = areComplete;
  Owner.setEntryNames(names, areComplete);
}

void PeerLink::fetchPeriodically() {
  for (auto *it : Followers)
    if (!it->isStoreReachable())
      fetch(*it);
  FetchTimer.expires_after(Config.FetchPeriod);
  FetchTimer.async_wait([this](const error_code &ec) {
    if (!ec)
      fetchPeriodically();
  });
}

void PeerLink::fetch(TopicFollower &follower) {
  if (Peers.empty())
    return;
  auto it = Peers.begin();
  std::advance(it, static_cast<long>(NextFetchPeer++ % Peers.size()));
  auto &client = HttpClients[it->first];
  if (!client)
    client = std::make_shared<adaptertcp::AsyncHttpClient>(
        Loop, boost::asio::ip::tcp::endpoint(it->second.Address.address(),
                                             it->second.Address.port()));
  if (client->isBusy())
    return;
  adaptertcp::RequestHead head;
  head.Method = "GET";
  // A former version reads only what follows "topic=".
  head.Target = "/records?era=" + std::to_string(follower.end().Era) +
                "&topic=" + follower.topic() +
                "&from=" + std::to_string(follower.end().Offset);
  head.Headers.add("Host", "peer");
  client->call(head, "", Owner.now() + FetchTimeout,
               [this, &follower](const adaptertcp::CallResult &result) {
                 onRecords(follower, result);
               });
}

std::string PeerLink::encodeRecords(const std::string &topic,
                                    TopicPosition from) const {
  for (const auto *it : Followers)
    if (it->topic() == topic && it->isLoaded())
      return encodeRecordMessage({it->recordsFrom(from), it->end()});
  return {};
}

void PeerLink::onRecords(TopicFollower &follower,
                         const adaptertcp::CallResult &result) {
  if (!result.isStatus(200) || follower.isStoreReachable())
    return;
  const auto message = decodeRecordMessage(result.Body);
  if (!message) {
    base::logWarning("peer.malformed_records", {{"topic", follower.topic()}});
    return;
  }
  if (!message->Records.empty())
    base::logDecision("records.from_peer",
                      {{"topic", follower.topic()},
                       {"records", message->Records.size()},
                       {"era", message->End.Era},
                       {"end", message->End.Offset}});
  follower.addPeerRecords(message->Records, message->End);
}

} // namespace bergamot::entrypath
