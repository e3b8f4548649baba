#include "libbergamotbase/error.h"
#include "libbergamotconfig/configledger.h"
#include "libbergamotconfig/recordfields.h"
#include "libbergamotconfig/validate.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace bergamot;
using namespace bergamot::config;

namespace {

/// Ends the process so that libFuzzer keeps the input.
void require(bool condition) {
  if (!condition)
    std::abort();
}

void readDocument(std::string_view text) {
  try {
    const Configuration document = parseConfiguration(text);
    validate(document);
    const std::string canonical = canonicalText(document);
    require(canonicalText(parseConfiguration(canonical)) == canonical);
  } catch (const base::Error &) {
    // A document that is refused.
  }
}

void readRecord(std::string_view text) {
  const RecordContent content = parseRecord(text);
  if (const auto *change = std::get_if<Change>(&content)) {
    const std::string again = recordText(*change);
    const RecordContent reread = parseRecord(again);
    require(std::holds_alternative<Change>(reread) &&
            recordText(std::get<Change>(reread)) == again);
  }
  ConfigLedger ledger;
  ledger.apply({{0}, base::WallTime(), std::string(text)});
  ledger.apply({{7}, base::WallTime(), std::string(text)});
  ledger.installSnapshot(text, base::WallTime());
}

} // namespace

// Guards against a crash, a memory error or an unstable canonical text on any
// input of the configuration reader.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char *>(data), size);
  readDocument(text);
  readRecord(text);
  return 0;
}
