#ifndef BERGAMOT_LIBBERGAMOTCONFIG_SNAPSHOT_H
#define BERGAMOT_LIBBERGAMOTCONFIG_SNAPSHOT_H

#include "libbergamotbase/ids.h"
#include "libbergamotconfig/configuration.h"

#include <string>
#include <vector>

namespace bergamot::config {

/// An accepted change: its id, the version that it built on and the version
/// that it made.
struct AcceptedChange {
  std::string Id;
  base::ConfigVersion Base;
  base::ConfigVersion Version;

  bool operator==(const AcceptedChange &) const = default;
};

/// State of a ledger after the records before AsOf. A reader that starts in
/// the middle of the log can continue from it only if it has every record
/// from AsOf on: the snapshot may have been appended after later changes.
struct Snapshot {
  base::ConfigVersion Version;
  base::LogOffset AsOf;
  std::string Hash;
  Configuration Whole;
  std::vector<AcceptedChange> Recent;

  bool operator==(const Snapshot &) const = default;
};

/// Returns the record text for the log and for peers.
std::string recordText(const Snapshot &snapshot);

} // namespace bergamot::config

#endif
