#include "bergamotd/daemonsettings.h"

#include "libbergamotbase/settings.h"

#include <gflags/gflags.h>

DEFINE_string(role, "", "what the daemon is: entry or target");
DEFINE_string(vm, "", "id of this VM in the platform's VM list");
DEFINE_string(failure_domain, "", "failure domain of this VM");
DEFINE_string(target, "", "id of the target beside this daemon (target role)");
DEFINE_string(peer_listen, "", "IP address and port for other daemons");
DEFINE_string(http_listen, "",
              "IP address and port for callers (entry role) and for health, "
              "metrics and status");
DEFINE_string(platform, "", "IP address and port of the platform's services");
DEFINE_string(back_end, "",
              "IP address and port of the engine or service (target role)");
DEFINE_string(secrets, "",
              "secrets of the deployment, separated by commas; the first one "
              "signs and all verify. Give it as BERGAMOT_SECRETS");
DEFINE_int32(http_threads, 256,
             "connections of callers that are served at once");
DEFINE_int32(worker_threads, 64, "requests at the back end at once");
DEFINE_int32(peer_threads, 2, "threads for messages between daemons");
DEFINE_int32(max_body_bytes, 512 * 1024, "largest body of a caller's request");
DEFINE_int32(answer_memory_kib, 32 * 1024,
             "memory for the bodies of all responses in progress, in KiB "
             "(entry role)");
DEFINE_int32(audit_memory_kib, 1024,
             "memory for audit records that the log doesn't hold yet, in KiB");
DEFINE_int32(request_timeout_ms, 10000, "time in which a request must arrive");
DEFINE_int32(default_deadline_ms, 60000,
             "deadline of a request that states none");
DEFINE_int32(heartbeat_interval_ms, 500, "time between heartbeats");
DEFINE_int32(heartbeat_timeout_ms, 1500,
             "a connection without a frame for this long is replaced");
DEFINE_int32(park_after_ms, 2000,
             "a stream whose reader takes nothing for this long is parked");
DEFINE_int32(drain_grace_ms, 1000,
             "time for the platform's balancer to notice the shutdown while "
             "new requests are still served");
DEFINE_int32(drain_timeout_ms, 30000,
             "time in which requests may finish at shutdown");

namespace bergamot::bergamotd {

using base::SettingProblem;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t ShortestSecret = 16;
constexpr int MostThreads = 4096;
constexpr int MostMilliseconds = 3600 * 1000;
/// A dispatch must fit into one frame together with its headers.
constexpr int MostBodyBytes = 960 * 1024;

wire::DeploymentSecrets splitSecrets(const std::string &text) {
  wire::DeploymentSecrets secrets;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(',', begin), text.size());
    secrets.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return secrets;
}

void checkSecrets(std::vector<SettingProblem> &problems) {
  for (const auto &secret : splitSecrets(FLAGS_secrets))
    if (secret.size() < ShortestSecret) {
      problems.push_back({"--secrets", "(hidden)",
                          "secrets of at least " +
                              std::to_string(ShortestSecret) + " characters"});
      return;
    }
}

void checkTargetRole(std::vector<SettingProblem> &problems) {
  if (FLAGS_role != "target")
    return;
  base::checkPresent(problems, "target", FLAGS_target, "the target's id");
  base::checkEndpoint(problems, "back_end", FLAGS_back_end);
}

void checkNumbers(std::vector<SettingProblem> &problems) {
  base::checkRange(problems, "http_threads", FLAGS_http_threads, 1,
                   MostThreads);
  base::checkRange(problems, "worker_threads", FLAGS_worker_threads, 1,
                   MostThreads);
  base::checkRange(problems, "peer_threads", FLAGS_peer_threads, 1, 64);
  base::checkRange(problems, "max_body_bytes", FLAGS_max_body_bytes, 1,
                   MostBodyBytes);
  base::checkRange(problems, "answer_memory_kib", FLAGS_answer_memory_kib, 64,
                   1024 * 1024);
  base::checkRange(problems, "audit_memory_kib", FLAGS_audit_memory_kib, 1,
                   1024 * 1024);
  base::checkRange(problems, "request_timeout_ms", FLAGS_request_timeout_ms, 1,
                   MostMilliseconds);
  base::checkRange(problems, "default_deadline_ms", FLAGS_default_deadline_ms,
                   1, MostMilliseconds);
  base::checkRange(problems, "heartbeat_interval_ms",
                   FLAGS_heartbeat_interval_ms, 50, 10000);
  base::checkRange(problems, "heartbeat_timeout_ms", FLAGS_heartbeat_timeout_ms,
                   2LL * FLAGS_heartbeat_interval_ms, 60000);
  base::checkRange(problems, "park_after_ms", FLAGS_park_after_ms, 10,
                   MostMilliseconds);
  base::checkRange(problems, "drain_grace_ms", FLAGS_drain_grace_ms, 0,
                   MostMilliseconds);
  base::checkRange(problems, "drain_timeout_ms", FLAGS_drain_timeout_ms, 0,
                   MostMilliseconds);
}

DaemonSettings fromFlags() {
  DaemonSettings s;
  s.Role = FLAGS_role == "target" ? Role::Target : Role::Entry;
  s.Vm = {FLAGS_vm};
  s.Domain = {FLAGS_failure_domain};
  s.Target = {FLAGS_target};
  s.PeerListen = FLAGS_peer_listen;
  s.HttpListen = FLAGS_http_listen;
  s.PlatformEndpoint = FLAGS_platform;
  s.BackEndEndpoint = FLAGS_back_end;
  s.Peer.Secrets = splitSecrets(FLAGS_secrets);
  s.Peer.Heartbeat = {milliseconds(FLAGS_heartbeat_interval_ms),
                      milliseconds(FLAGS_heartbeat_timeout_ms)};
  s.Limits.DefaultDeadline = milliseconds(FLAGS_default_deadline_ms);
  s.Job.ParkAfter = milliseconds(FLAGS_park_after_ms);
  s.HttpThreads = FLAGS_http_threads;
  s.PeerThreads = FLAGS_peer_threads;
  s.WorkerThreads = FLAGS_worker_threads;
  s.MaxBodyBytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
  s.AnswerBytes = static_cast<std::size_t>(FLAGS_answer_memory_kib) * 1024;
  s.AuditBytes = static_cast<std::size_t>(FLAGS_audit_memory_kib) * 1024;
  s.RequestTimeout = milliseconds(FLAGS_request_timeout_ms);
  s.DrainGrace = milliseconds(FLAGS_drain_grace_ms);
  s.DrainTimeout = milliseconds(FLAGS_drain_timeout_ms);
  return s;
}

} // namespace

DaemonSettings readDaemonSettings(int *argc, char ***argv) {
  gflags::SetUsageMessage("load balancer daemon; settings are flags or "
                          "BERGAMOT_<NAME> in the environment");
  auto problems = base::parseSettings(argc, argv);
  base::checkChoice(problems, "role", FLAGS_role, {"entry", "target"});
  base::checkPresent(problems, "vm", FLAGS_vm, "the VM's id");
  base::checkPresent(problems, "failure_domain", FLAGS_failure_domain,
                     "the failure domain's id");
  base::checkEndpoint(problems, "peer_listen", FLAGS_peer_listen);
  base::checkEndpoint(problems, "http_listen", FLAGS_http_listen);
  base::checkEndpoint(problems, "platform", FLAGS_platform);
  checkSecrets(problems);
  checkTargetRole(problems);
  checkNumbers(problems);
  base::throwIfAny(problems);
  return fromFlags();
}

} // namespace bergamot::bergamotd
