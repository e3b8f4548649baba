#include "adapterplatform/weightstore.h"

#include "libbergamotbase/error.h"

#include <charconv>

namespace bergamot::adapterplatform {

using base::Error;
using base::Step;

namespace {

constexpr int TooManyRequests = 429;

std::uint64_t parseHeaderNumber(const std::string &peer,
                                const std::string *value,
                                const char *headerName) {
  std::uint64_t number = 0;
  if (value) {
    const char *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end)
      return number;
  }
  throw Error(Step::Experts, peer,
              std::string("missing or invalid header from the weight store: ") +
                  headerName);
}

} // namespace

WeightPart HttpWeightStore::read(const ExpertWeightsId &id,
                                 std::uint64_t offset, std::uint64_t length,
                                 base::TimePoint deadline) {
  const std::string &peer = Client.endpoint();
  const std::string target =
      "/v1/weights/" + id.Model + "/" + std::to_string(id.Layer) + "/" +
      std::to_string(id.Expert) + "?offset=" + std::to_string(offset) +
      "&length=" + std::to_string(length);
  auto response = Client.request("GET", target, {}, {}, deadline);
  WeightPart part;
  if (response.Status == TooManyRequests) {
    part.RetryAfter = std::chrono::seconds(
        parseHeaderNumber(peer, response.header("Retry-After"), "Retry-After"));
    return part;
  }
  if (response.Status != 200)
    throw Error(Step::Experts, peer,
                "the weight store returned status " +
                    std::to_string(response.Status));
  part.TotalBytes = parseHeaderNumber(peer, response.header("X-Total-Length"),
                                      "X-Total-Length");
  if (const auto *hash = response.header("X-Content-Hash"))
    part.ContentHash = *hash;
  part.Bytes = std::move(response.Body);
  return part;
}

} // namespace bergamot::adapterplatform
