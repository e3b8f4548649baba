// Records of the store that entries hand on to each other.
#include "entrypath/recordmessage.h"
#include "libbergamotbase/jsoncodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamot;
using namespace bergamot::entrypath;
using nlohmann::json;

TEST_CASE("records round-trip; malformed ones are left out") {
  const RecordMessage message{{{"a", "1", {2, 3}}, {"b", std::nullopt, {1, 9}}},
                              {2, 4}};
  const auto decoded = decodeRecordMessage(encodeRecordMessage(message));
  REQUIRE(decoded);
  CHECK(decoded->End == message.End);
  REQUIRE(decoded->Records.size() == 2);
  CHECK(decoded->Records[0].Value == "1");
  CHECK(decoded->Records[0].Position == TopicPosition{2, 3});
  CHECK_FALSE(decoded->Records[1].Value);
  CHECK(decoded->Records[1].Position == TopicPosition{1, 9});
  CHECK_FALSE(decodeRecordMessage(""));
  CHECK_FALSE(decodeRecordMessage(base::toCbor({{"end", -1}})));
  const auto odd = decodeRecordMessage(base::toCbor(
      {{"end", 1},
       {"records", {1, {{"key", 2}, {"offset", 0}}, {{"key", "a"}}}}}));
  REQUIRE(odd);
  CHECK(odd->Records.empty());
}

// Old and new versions run side by side during an upgrade.
TEST_CASE("a former version's records count as those of the first era") {
  const std::string bytes = base::toCbor(
      {{"end", 5},
       {"records", {{{"key", "a"}, {"value", "1"}, {"offset", 4}}}}});
  const auto decoded = decodeRecordMessage(bytes);
  REQUIRE(decoded);
  CHECK(decoded->End == TopicPosition{FirstEra, 5});
  CHECK(decoded->Records.at(0).Position == TopicPosition{FirstEra, 4});
}

TEST_CASE("a former version finds all that it reads in a message") {
  const json it =
      json::from_cbor(encodeRecordMessage({{{"a", "1", {2, 3}}}, {2, 4}}));
  CHECK(it.at("end").get<std::uint64_t>() == 4);
  CHECK(it.at("records").at(0).at("key") == "a");
  CHECK(it.at("records").at(0).at("value") == "1");
  CHECK(it.at("records").at(0).at("offset").get<std::uint64_t>() == 3);
}
