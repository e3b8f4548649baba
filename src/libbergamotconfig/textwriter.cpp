#include "libbergamotconfig/textwriter.h"

namespace bergamot::config {

namespace {

/// Returns whether JSON needs no escape for the text. Ids, hashes and names
/// are of this kind, and most of a document consists of them.
bool isPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= ' ' && c <= '~' && c != '"' && c != '\\';
  });
}

} // namespace

std::string TextWriter::quoted(const std::string &text) {
  if (!isPlain(text))
    return dumpJson(Json(text));
  std::string result;
  result.reserve(text.size() + 2);
  result += '"';
  result += text;
  result += '"';
  return result;
}

std::string TextWriter::takeText() {
  std::sort(Members.begin(), Members.end());
  std::size_t size = 2;
  for (const auto &[name, member] : Members)
    size += name.size() + member.size() + 4;
  std::string text = "{";
  text.reserve(size);
  for (auto &[name, member] : Members) {
    if (text.size() > 1)
      text += ',';
    text += '"';
    text += name;
    text += "\":";
    text += member;
    member = {};
  }
  text += '}';
  return text;
}

} // namespace bergamot::config
