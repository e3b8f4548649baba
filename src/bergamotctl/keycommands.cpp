#include "bergamotctl/keycommands.h"

#include "bergamotctl/exitcode.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"
#include "libbergamotconfig/configurationindex.h"
#include "libbergamotconfig/signer.h"
#include "libbergamotconfig/validate.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <istream>
#include <ostream>

namespace bergamot::bergamotctl {

namespace {

constexpr std::size_t SeedBytes = 32;
constexpr std::size_t SecretBytes = 24;
constexpr std::size_t SaltBytes = 16;

nlohmann::json hashJson(const std::string &key) {
  const config::KeyHash hash =
      config::hashApiKey(base::randomBytes(SaltBytes), key);
  return {{"salt", hash.Salt}, {"sha256", hash.Sha256}};
}

/// Writes a new file that only its owner may read. An existing file is never
/// overwritten: it may hold the only copy of a key.
void writeKeyFile(const std::string &path, const std::string &text) {
  const int file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (file < 0)
    throw base::Error(base::Step::Settings, path,
                      "the key file exists or can't be made");
  const ssize_t n = write(file, text.data(), text.size());
  const bool isWritten = close(file) == 0 && n == ssize_t(text.size());
  if (!isWritten)
    throw base::Error(base::Step::Settings, path, "the key can't be written");
}

} // namespace

int newKey(CommandContext &context) {
  const Options &flags = context.Flags;
  if (!flags.Account.empty()) {
    if (!config::isId(flags.Account)) {
      context.Err << "'" << flags.Account << "' is not an account id\n";
      return HasProblems;
    }
    const std::string key =
        flags.Account + "." + base::toHex(base::randomBytes(SecretBytes));
    context.Out
        << nlohmann::json{{"api_key", key}, {"hash", hashJson(key)}}.dump(2)
        << "\n";
    return Success;
  }
  if (flags.KeyFile.empty()) {
    context.Err << "key new needs --key_file or --account\n";
    return Usage;
  }
  const std::string seed = base::randomBytes(SeedBytes);
  writeKeyFile(flags.KeyFile, base::toHex(seed) + "\n");
  context.Out
      << nlohmann::json{{"public_key", config::Signer(seed).publicKey()}}.dump(
             2)
      << "\n";
  return Success;
}

int hashKey(CommandContext &context) {
  std::string key;
  std::getline(context.In, key);
  if (config::accountOfKey(key).empty()) {
    context.Err << "an API key has the form <account id>.<secret>\n";
    return HasProblems;
  }
  context.Out << hashJson(key).dump(2) << "\n";
  return Success;
}

} // namespace bergamot::bergamotctl
