#ifndef BERGAMOT_BERGAMOTD_AUDITWRITER_H
#define BERGAMOT_BERGAMOTD_AUDITWRITER_H

#include "adapterplatform/httplog.h"
#include "libbergamotbase/metrics.h"
#include "libbergamotstate/auditchain.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace bergamot::bergamotd {

/// Writes a daemon's audit stream to the platform's log on one thread.
/// Thread-safe; Mutex is never held during a call of the log, and no other
/// lock is taken while it is held.
class AuditWriter {
public:
  AuditWriter(base::VmId daemon, base::Incarnation life,
              const std::string &platformEndpoint, state::AuditSettings limits,
              base::Metrics &metrics);
  ~AuditWriter();
  AuditWriter(const AuditWriter &) = delete;
  AuditWriter &operator=(const AuditWriter &) = delete;

  void start();

  /// Sets the record's time and adds it. Never waits for the log; a record
  /// that doesn't fit into memory is counted as part of a gap.
  void add(state::AuditRecord record);

  /// Writes what waits, at most until the deadline, and ends the thread.
  /// Records that are added later are lost.
  void stop(base::TimePoint flushBy);

private:
  void run();
  bool isOver(base::TimePoint now) const;
  bool findEarlierBatch();
  void runAction(const state::AuditAppend &append);
  void runAction(const state::AuditReadBack &readBack);
  void pause(std::chrono::milliseconds time);

  const base::VmId Daemon;
  const std::string Stream;
  base::Metrics &Metrics;
  adapterplatform::HttpLog Log;

  std::mutex Mutex;
  std::condition_variable Changed;
  state::AuditChain Chain;
  bool IsStopping = false;
  base::TimePoint FlushBy;
  std::thread Writer;
};

} // namespace bergamot::bergamotd

#endif
