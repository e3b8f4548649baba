#include "libbergamotbase/error.h"
#include "libbergamotconfig/recordfields.h"

namespace bergamot::config {

namespace {

template <typename T> RecordContent readAs(const Json &json) {
  T value;
  JsonReader reader;
  reader.read(json, value, "");
  if (!reader.Problems.empty())
    return std::move(reader.Problems);
  return value;
}

} // namespace

std::string signedText(const Change &change) {
  Change unsignedChange = change;
  unsignedChange.Signature.clear();
  return "bergamot-config-change-1\n" + recordText(unsignedChange);
}

void setSignature(Change &change, const Signer &signer) {
  change.Signature = signer.sign(signedText(change));
}

std::string recordText(const Change &change) {
  return detail::TextWriter::valueText(change);
}

std::string recordText(const Snapshot &snapshot) {
  return detail::TextWriter::valueText(snapshot);
}

RecordContent parseRecord(std::string_view text) {
  try {
    const Json json = parseJson(text);
    if (json.is_object() && json.value("kind", Json()) == "change")
      return readAs<Change>(json);
    if (json.is_object() && json.value("kind", Json()) == "snapshot")
      return readAs<Snapshot>(json);
    return std::vector<Problem>{{"/kind", "must be change or snapshot"}};
  } catch (const base::Error &e) {
    return std::vector<Problem>{{"", e.what()}};
  }
}

} // namespace bergamot::config
