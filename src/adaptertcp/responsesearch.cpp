#include "adaptertcp/responsesearch.h"

#include "adaptertcp/messageparser.h"

#include <algorithm>

namespace bergamot::adaptertcp {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/1.";
/// A head that is cut before the end of its status code can't be told from text
/// that names the protocol.
constexpr std::size_t MinCutHeadBytes = std::string_view("HTTP/1.1 200").size();
/// No response in the deployments has a head of this size. It bounds the work
/// for a body with many status lines.
constexpr std::size_t MaxHeadBytes = 16384;

bool startsWithHead(std::string_view bytes, HeadExtent extent) {
  const std::string_view start =
      bytes.substr(0, std::min(bytes.size(), MaxHeadBytes));
  MessageParser parser(MessageParser::Kind::Response);
  (void)parser.push(start);
  if (parser.isHeadComplete())
    return true;
  return extent == HeadExtent::MaybeCut && !parser.hasFailed() &&
         start.size() == bytes.size() && start.size() >= MinCutHeadBytes;
}

} // namespace

std::optional<std::size_t> findResponseHead(std::string_view bytes,
                                            HeadExtent extent) {
  for (std::size_t at = bytes.find(VersionPrefix); at != std::string_view::npos;
       at = bytes.find(VersionPrefix, at + 1))
    if (startsWithHead(bytes.substr(at), extent))
      return at;
  return std::nullopt;
}

} // namespace bergamot::adaptertcp
