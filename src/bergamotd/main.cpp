#include "bergamotd/daemon.h"
#include "bergamotd/entryservice.h"
#include "bergamotd/targetservice.h"

#include <pthread.h>

#include <csignal>
#include <iostream>

using namespace bergamot;
using namespace bergamot::bergamotd;

namespace {

constexpr int SettingsExitCode = 2;
constexpr int FailureExitCode = 1;

/// Blocks the signals that end the daemon, in all threads made later.
sigset_t blockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Returns whether a signal to end arrived within the tick.
bool isEndRequested(const sigset_t &signals, std::chrono::nanoseconds tick) {
  const timespec timeout{0, static_cast<long>(tick.count())};
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

template <DaemonRole RoleT, typename MakeRole>
void serve(const DaemonSettings &settings, base::Incarnation incarnation,
           const sigset_t &signals, MakeRole makeRole) {
  Daemon<RoleT> daemon(settings, incarnation, makeRole);
  base::logInfo("daemon.started", {{"vm", settings.Vm.Value},
                                   {"incarnation", incarnation.Value},
                                   {"http_port", daemon.httpPort()},
                                   {"peer_port", daemon.peerPort()}});
  while (!isEndRequested(signals, Daemon<RoleT>::TickInterval))
    daemon.tick();
  daemon.shutDown();
}

void serveEntry(const DaemonSettings &settings, base::Incarnation incarnation,
                const sigset_t &signals) {
  EntryOptions options;
  options.Vm = settings.Vm;
  options.Incarnation = incarnation;
  options.Domain = settings.Domain;
  options.Limits = settings.Limits;
  options.AnswerBytes = settings.AnswerBytes;
  options.StallTime = settings.Job.ParkAfter;
  options.PlatformEndpoint = settings.PlatformEndpoint;
  serve<EntryService>(
      settings, incarnation, signals,
      [&](ConfigStore &store, base::Metrics &metrics, AuditWriter &audit) {
        return std::make_unique<EntryService>(options, store, metrics, audit);
      });
}

void serveTarget(const DaemonSettings &settings, base::Incarnation incarnation,
                 const sigset_t &signals) {
  TargetOptions options;
  options.Target = settings.Target;
  options.BackEndEndpoint = settings.BackEndEndpoint;
  options.WorkerThreads = settings.WorkerThreads;
  options.Job = settings.Job;
  serve<TargetService>(
      settings, incarnation, signals,
      [&](ConfigStore &store, base::Metrics &metrics, AuditWriter &audit) {
        return std::make_unique<TargetService>(options, store, metrics, audit);
      });
}

} // namespace

int main(int argc, char **argv) {
  const sigset_t signals = blockEndSignals();
  DaemonSettings settings;
  try {
    settings = readDaemonSettings(&argc, &argv);
  } catch (const base::Error &e) {
    std::cerr << "bergamotd: " << e.what() << '\n';
    return SettingsExitCode;
  }
  base::initJsonLog(argv[0]);
  // Starts of one VM are seconds apart, so the wall clock in milliseconds
  // grows from one to the next unless it is set back by more than that.
  const base::Incarnation incarnation{
      static_cast<std::uint64_t>(base::toUnixMilliseconds(base::wallNow()))};
  try {
    if (settings.Role == Role::Entry)
      serveEntry(settings, incarnation, signals);
    else
      serveTarget(settings, incarnation, signals);
  } catch (const base::Error &e) {
    base::logWarning("daemon.failed", {{"step", base::stepName(e.step())},
                                       {"peer", e.peer()},
                                       {"detail", e.what()}});
    return FailureExitCode;
  }
  return 0;
}
