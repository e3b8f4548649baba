#ifndef BERGAMOT_BERGAMOTCTL_EXITCODE_H
#define BERGAMOT_BERGAMOTCTL_EXITCODE_H

namespace bergamot::bergamotctl {

/// Exit codes of bergamotctl. man/bergamotctl.1 documents them.
enum ExitCode : int {
  /// Done: the document is valid, the change is in force in the log.
  Success = 0,
  /// The document, key or input has problems; nothing was appended. An entry
  /// has no such route, account or service.
  HasProblems = 1,
  /// The command line is wrong.
  Usage = 2,
  /// Another change on the same base version was accepted first.
  LostRace = 3,
  /// The log could not be read, or did not decide the change in time. An entry
  /// can't be reached or has no configuration.
  NotDecided = 4,
  /// The record is in the log, but every reader refuses it.
  Refused = 5,
  /// At least one daemon has another version than the log, or is not ready.
  NotInForce = 6,
};

} // namespace bergamot::bergamotctl

#endif
