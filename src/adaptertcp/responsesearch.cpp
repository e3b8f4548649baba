#include "adaptertcp/responsesearch.h"

#include "libbergamotbase/httpheadsyntax.h"

#include <algorithm>

namespace bergamot::adaptertcp {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/1.";
/// A head that is cut before the end of its status code can't be told from text
/// that names the protocol.
constexpr std::size_t MinCutHeadBytes = std::string_view("HTTP/1.1 200").size();
/// No response in the deployments has a head of this size. It bounds the work
/// for a body with many status lines, and the bytes that aren't decided yet.
constexpr std::size_t MaxHeadBytes = 16384;

/// Returns where the first status line after an offset begins, which may be cut
/// by the end of the bytes.
std::size_t findStatusLine(std::string_view bytes, std::size_t from) {
  for (std::size_t at = bytes.find(VersionPrefix, from);
       at != std::string_view::npos; at = bytes.find(VersionPrefix, at + 1))
    if (base::matchesStatusLine(bytes.substr(at)))
      return at;
  const std::size_t n = std::min(bytes.size(), VersionPrefix.size() - 1);
  for (std::size_t at = std::max(from, bytes.size() - n); at < bytes.size();
       ++at)
    if (VersionPrefix.starts_with(bytes.substr(at)))
      return at;
  return std::string_view::npos;
}

/// A status line and the field lines that follow it.
struct LineRun {
  enum class Ending { EmptyLine, OtherLine, EndOfBytes };
  Ending How = Ending::EndOfBytes;
  /// The offset past the empty line, of the other line, or past the bytes.
  std::size_t End = 0;
};

/// Returns whether a character may be part of a field's name as a target in
/// trouble sends it: no name has blanks or control characters.
bool isNameChar(char c) {
  return base::isTokenChar(c) || c == ' ' || c == '\t' || !base::isTextChar(c);
}

/// Returns whether a line may begin the name of a field.
bool mayBeginField(std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  return std::all_of(name.begin(), name.end(), isNameChar) &&
         !line.starts_with(':');
}

bool isFieldLine(std::string_view line) {
  return mayBeginField(line) && line.find(':') != std::string_view::npos;
}

/// Reads the lines of what may be the head of a response. The head needn't be
/// one that HTTP allows.
LineRun readLines(std::string_view bytes, std::size_t statusLineAt) {
  std::size_t lf = bytes.find('\n', statusLineAt);
  if (lf == std::string_view::npos)
    return {LineRun::Ending::EndOfBytes, bytes.size()};
  if (bytes[lf - 1] != '\r')
    return {LineRun::Ending::OtherLine, lf + 1};
  bool hasField = false;
  const auto continuesField = [&hasField](std::string_view line) {
    return hasField && (line.starts_with(' ') || line.starts_with('\t'));
  };
  std::size_t at = lf + 1;
  for (lf = bytes.find('\n', at); lf != std::string_view::npos;
       lf = bytes.find('\n', at)) {
    const std::string_view line = bytes.substr(at, lf - at);
    if (line == "\r")
      return {LineRun::Ending::EmptyLine, lf + 1};
    if (!line.ends_with('\r') || !(continuesField(line) || isFieldLine(line)))
      return {LineRun::Ending::OtherLine, at};
    hasField = true;
    at = lf + 1;
  }
  const std::string_view cutLine = bytes.substr(at);
  if (!continuesField(cutLine) && !mayBeginField(cutLine))
    return {LineRun::Ending::OtherLine, at};
  return {LineRun::Ending::EndOfBytes, bytes.size()};
}

/// Decodes a status line and the lines that follow it.
ResponseHead decodeHead(std::string_view lines) {
  constexpr std::size_t StatusAt = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t StatusDigits = 3;
  ResponseHead head;
  if (lines.size() >= StatusAt + StatusDigits)
    head.Status = static_cast<int>(
        parseNumber(lines.substr(StatusAt, StatusDigits)).value_or(0));
  for (std::size_t lf = lines.find('\n'); lf != std::string_view::npos;
       lf = lines.find('\n')) {
    lines.remove_prefix(lf + 1);
    std::string_view line = lines.substr(0, lines.find('\n'));
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
      continue;
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    head.Headers.add(line.substr(0, colon), value);
  }
  return head;
}

} // namespace

std::optional<std::size_t> findResponseHead(std::string_view bytes,
                                            HeadExtent extent) {
  const TargetHeadSearch search =
      findTargetHead(bytes, extent, [](const ResponseHead &) { return true; });
  if (!search.HeadAt || bytes.size() - *search.HeadAt < MinCutHeadBytes)
    return std::nullopt;
  return search.HeadAt;
}

TargetHeadSearch findTargetHead(std::string_view bytes, HeadExtent extent,
                                const HeadCheck &isOfTarget) {
  constexpr std::size_t None = std::string_view::npos;
  std::size_t at = findStatusLine(bytes, 0);
  while (at != None) {
    const LineRun run = readLines(bytes, at);
    // A head that begins later within the same lines has no field that this
    // one lacks, so only the first is decoded.
    if (run.How != LineRun::Ending::OtherLine && run.End - at > MaxHeadBytes)
      at = findStatusLine(bytes.substr(0, run.End), run.End - MaxHeadBytes);
    const bool isCut = run.How == LineRun::Ending::EndOfBytes;
    const bool isHead = run.How == LineRun::Ending::EmptyLine ||
                        (isCut && extent == HeadExtent::MaybeCut);
    if (at != None && isHead &&
        isOfTarget(decodeHead(bytes.substr(at, run.End - at))))
      return {at, at};
    if (isCut)
      return {std::nullopt, std::min(at, bytes.size())};
    at = findStatusLine(bytes, run.End);
  }
  return {std::nullopt, bytes.size()};
}

bool startsWithStatusLine(std::string_view bytes) {
  return !bytes.empty() && base::matchesStatusLine(bytes);
}

} // namespace bergamot::adaptertcp
