#ifndef BERGAMOT_BERGAMOTD_TARGETJOB_H
#define BERGAMOT_BERGAMOTD_TARGETJOB_H

#include "adapterhttp/httpclient.h"
#include "adapterpeer/peersession.h"
#include "libbergamotbase/timetypes.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace bergamot::bergamotd {

/// Settings of the jobs of one target daemon.
struct JobSettings {
  /// A stream whose reader takes nothing for this long is parked, so that it
  /// doesn't hold the engine's memory.
  std::chrono::milliseconds ParkAfter{2000};
};

/// How a job ended, for admission and the log.
struct JobResult {
  wire::fb::Executed Executed = wire::fb::Executed::No;
  bool IsComplete = false;
  bool IsParked = false;
  int Status = 0;
  std::uint64_t Bytes = 0;
  base::Duration FirstByte{};
  std::string Detail;
};

/// One admitted attempt: calls the back end and sends the answer to the entry
/// as frames. run() is called by one worker; the other functions by the
/// network threads.
class TargetJob {
public:
  TargetJob(wire::Envelope dispatch, adapterpeer::PeerSessionPtr session,
            adapterhttp::HttpClient &backEnd, JobSettings settings,
            base::TimePoint received);

  /// Calls the back end and blocks until the answer was sent or the attempt
  /// failed.
  JobResult run();

  /// Lets the answer proceed up to this offset.
  void setWindow(std::uint64_t receivedUpTo);

  /// Gives the attempt up: its entry doesn't want the answer any more. Work
  /// that isn't resumable is left to finish, as the back end may have
  /// changed state already.
  void cancel();

  const std::string &request() const { return Message.request; }
  std::uint32_t attempt() const { return Message.attempt; }
  const wire::fb::DispatchT &dispatch() const { return *Dispatch; }
  const adapterpeer::PeerSessionPtr &session() const { return Session; }
  base::TimePoint deadline() const { return Deadline; }

private:
  enum class WindowState { Open, Cancelled, Full, Expired };

  std::unique_ptr<adapterhttp::HttpStream> openBackEnd();
  std::unique_ptr<adapterhttp::HttpStream> openResumed();
  std::unique_ptr<adapterhttp::HttpStream> openWhole();
  void skipDelivered(adapterhttp::HttpStream &stream);
  void relay(adapterhttp::HttpStream &stream, JobResult &result);
  void sendHead(const adapterhttp::HttpStream &stream);
  void sendEnd(std::uint64_t total, std::uint64_t hash);
  void sendRefused(const std::string &detail);
  void sendFailed(const JobResult &result, const char *step);
  bool send(wire::Envelope message);
  WindowState waitForWindow(std::uint64_t offset);
  void park(std::uint64_t offset, JobResult &result);
  void cancelAtEngine();
  bool isCancelled();

  wire::Envelope Message;
  const wire::fb::DispatchT *Dispatch;
  adapterpeer::PeerSessionPtr Session;
  adapterhttp::HttpClient &BackEnd;
  JobSettings Settings;
  base::TimePoint Received;
  base::TimePoint Deadline;
  std::uint64_t HashSeed;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Window;
  bool IsCancelled = false;
  adapterhttp::HttpStream *Running = nullptr;
};

} // namespace bergamot::bergamotd

#endif
