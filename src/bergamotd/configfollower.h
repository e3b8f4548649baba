#ifndef BERGAMOT_BERGAMOTD_CONFIGFOLLOWER_H
#define BERGAMOT_BERGAMOTD_CONFIGFOLLOWER_H

#include "adapterpeer/peersession.h"
#include "adapterplatform/httplog.h"
#include "bergamotd/activeconfig.h"
#include "bergamotd/auditwriter.h"
#include "libbergamotconfig/configledger.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <thread>

namespace bergamot::bergamotd {

/// Keeps the configuration in force up to date: reads the stream `config` of
/// the platform's log, and exchanges records with peers, so that a daemon
/// that can't reach the log still learns of changes. The ledger orders both
/// by offset. Lock order: Mutex before the store's lock.
class ConfigFollower {
public:
  ConfigFollower(base::VmId self, const std::string &platformEndpoint,
                 ConfigStore &store, AuditWriter &audit);
  ~ConfigFollower();

  /// Starts the thread that reads the log.
  void start();
  void stop();

  /// Takes a message of a peer. Returns whether it was about configuration.
  /// A peer whose version is ahead is asked for what this daemon lacks.
  bool addMessage(const adapterpeer::PeerSessionPtr &session,
                  const wire::Envelope &message);

  /// Returns where the configuration comes from, or why there is none.
  std::string sourceText() const;

private:
  void run();
  bool readLog();
  void appendDueSnapshot();
  void applyRecord(const config::LogRecord &record);
  void putInForce(const char *source);
  void logVerdict(const config::Verdict &verdict, const char *source) const;
  void askPeer(const adapterpeer::PeerSessionPtr &session);
  void answerPeer(const adapterpeer::PeerSessionPtr &session,
                  const wire::fb::ConfigRequestT &request);
  void sendSnapshot(const adapterpeer::PeerSessionPtr &session,
                    std::uint64_t version, const std::string &text);
  void takeRecords(const wire::fb::ConfigRecordsT &records);
  void takeSnapshotPart(const adapterpeer::PeerSessionPtr &session,
                        const wire::fb::ConfigSnapshotPartT &part);
  void pause(std::chrono::milliseconds time);

  const base::VmId Self;
  ConfigStore &Store;
  AuditWriter &Audit;
  adapterplatform::HttpLog Log;

  mutable std::mutex Mutex;
  config::ConfigLedger Ledger;
  /// The latest records, passed on to peers that lack them.
  std::deque<config::LogRecord> Recent;
  /// A snapshot that arrives in parts from one peer.
  struct Assembly {
    adapterpeer::PeerSessionPtr Session;
    std::uint64_t Version = 0;
    std::string Text;
  };
  Assembly Incoming;
  std::string LogProblem;
  base::TimePoint AskAgainAt;

  std::mutex StopMutex;
  std::condition_variable StopChanged;
  bool IsStopping = false;
  std::thread Reader;
};

} // namespace bergamot::bergamotd

#endif
