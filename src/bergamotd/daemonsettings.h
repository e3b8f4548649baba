#ifndef BERGAMOT_BERGAMOTD_DAEMONSETTINGS_H
#define BERGAMOT_BERGAMOTD_DAEMONSETTINGS_H

#include "adapterpeer/peersession.h"
#include "bergamotd/callerrequest.h"
#include "bergamotd/targetservice.h"

#include <chrono>
#include <string>

namespace bergamot::bergamotd {

/// Which part a daemon plays.
enum class Role { Entry, Target };

/// Checked settings of a daemon, from flags and environment variables.
struct DaemonSettings {
  bergamotd::Role Role = bergamotd::Role::Entry;
  base::VmId Vm;
  base::FailureDomainId Domain;
  base::TargetId Target;
  std::string PeerListen;
  std::string HttpListen;
  std::string PlatformEndpoint;
  std::string BackEndEndpoint;
  adapterpeer::PeerOptions Peer;
  CallerLimits Limits;
  JobSettings Job;
  int HttpThreads = 0;
  int PeerThreads = 0;
  int WorkerThreads = 0;
  std::size_t MaxBodyBytes = 0;
  std::size_t AnswerBytes = 0;
  std::size_t AuditBytes = 0;
  std::chrono::milliseconds RequestTimeout{};
  std::chrono::milliseconds DrainGrace{};
  std::chrono::milliseconds DrainTimeout{};
};

/// Parses and checks the settings. Throws Error that names every bad setting,
/// its value and what is allowed.
DaemonSettings readDaemonSettings(int *argc, char ***argv);

} // namespace bergamot::bergamotd

#endif
