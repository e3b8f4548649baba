#ifndef BERGAMOT_LIBBERGAMOTCONFIG_CHANGE_H
#define BERGAMOT_LIBBERGAMOTCONFIG_CHANGE_H

#include "libbergamotbase/ids.h"
#include "libbergamotconfig/configdelta.h"
#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/signer.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamot::config {

/// A signed change as it stands in the log. Exactly one of Delta and Whole is
/// set; the first change (base version 0) must be whole. Id is unique per
/// change and stays the same when a record is appended again. Author is the
/// person who made the change, for the audit; Signature is by the key of
/// SignedBy over signedText().
struct Change {
  std::string Id;
  base::ConfigVersion Base;
  std::string Author;
  SignerId SignedBy;
  std::optional<ConfigDelta> Delta;
  std::optional<Configuration> Whole;
  std::string Signature;

  bool operator==(const Change &) const = default;
};

/// Returns the text that is signed: a line with the purpose, so that a
/// signature serves for nothing else, and the canonical JSON of the change
/// without its signature.
std::string signedText(const Change &change);

/// Sets the signature of the change.
void setSignature(Change &change, const Signer &signer);

/// Returns the record text for the log. Throws Error if a string isn't UTF-8.
std::string recordText(const Change &change);

} // namespace bergamot::config

#endif
