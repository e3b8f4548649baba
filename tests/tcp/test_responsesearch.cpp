// The search for the head of a target's response within a body.
#include "adaptertcp/responsesearch.h"

#include <catch2/catch.hpp>

#include <array>
#include <random>
#include <regex>
#include <vector>

using namespace bergamot::adaptertcp;

namespace {

bool isOfTarget(const ResponseHead &head) {
  return head.Headers.value("X-Id") && head.Headers.value("X-Signed");
}

/// Searches with a regular expression from every byte. It states what counts as
/// a head, also one of a target in trouble. Returns where the first head of a
/// target begins.
std::optional<std::size_t> findNaively(const std::string &bytes) {
  static const std::string line = "[^\\n]*\\r\\n";
  static const std::string field =
      "[\\x00-\\x09\\x0b-\\x20\\x7f!#$%&'*+.^_`|~0-9A-Za-z-]+:" + line;
  static const std::regex head("HTTP/1\\.[0-9] [0-9]{3}(\\r\\n|[ \\r]" + line +
                               ")(" + field + "(" + field + "|[ \\t]" + line +
                               ")*)?\\r\\n");
  for (std::size_t at = bytes.find("HTTP/1."); at != std::string::npos;
       at = bytes.find("HTTP/1.", at + 1)) {
    std::smatch match;
    const auto begin = bytes.begin() + static_cast<std::ptrdiff_t>(at);
    if (std::regex_search(begin, bytes.end(), match, head,
                          std::regex_constants::match_continuous) &&
        match.str().find("\nX-Id:") != std::string::npos &&
        match.str().find("\nX-Signed:") != std::string::npos)
      return at;
  }
  return std::nullopt;
}

std::string drawBody(std::mt19937 &random) {
  constexpr std::array<std::string_view, 26> Parts{
      "HTTP/1.1 200 OK",
      "HTTP/1.0 404 ",
      "HTTP/1.1 200",
      "HTTP/1.",
      "HTTP/1.1 000 X",
      "HTTP/1.1 600 X",
      "HTTP/2.0 200 OK",
      "HTT",
      "X-Id: 1",
      "X-Id: HTTP/1.1 200 OK",
      "X-Signed: 1",
      "X-Signed:",
      "X-Other: 2",
      "X Other: 2",
      "X\x01Other: 2",
      "X(Other: 2",
      " X-Id: 1",
      "\tX",
      ": 3",
      "text",
      " ",
      "\r\n",
      "\r\n",
      "\r\n",
      "\n",
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: 1\r\n"};
  std::string body;
  for (std::size_t n = random() % 40; n > 0; --n) {
    body += Parts.at(random() % Parts.size());
    if (random() % 2 == 0)
      body += "\r\n";
  }
  return body;
}

/// Searches a body that arrives in parts, of which what is decided is relayed
/// at once. Returns the relayed bytes, and whether a head was found.
std::pair<std::string, bool>
searchInParts(const std::string &body,
              const std::vector<std::size_t> &partSizes) {
  std::string relayed;
  std::string held;
  std::size_t at = 0;
  for (const std::size_t size : partSizes) {
    held += body.substr(at, size);
    at += size;
    const TargetHeadSearch search =
        findTargetHead(held, HeadExtent::Whole, isOfTarget);
    relayed += held.substr(0, search.DecidedBytes);
    held.erase(0, search.DecidedBytes);
    if (search.HeadAt)
      return {relayed, true};
  }
  REQUIRE(at == body.size());
  return {relayed + held, false};
}

} // namespace

// Guards against a head that isn't found, or bytes of it that are relayed,
// because of where a body is split.
TEST_CASE("a target's head is found wherever a body is split") {
  constexpr std::uint32_t Seed = 491;
  constexpr int Cases = 20000;
  std::mt19937 random(Seed);
  int found = 0;
  for (int i = 0; i < Cases; ++i) {
    const std::string body = drawBody(random);
    CAPTURE(Seed, i, body);
    const auto expected = findNaively(body);
    found += expected ? 1 : 0;
    const TargetHeadSearch whole =
        findTargetHead(body, HeadExtent::Whole, isOfTarget);
    CAPTURE(body.substr(expected.value_or(body.size())),
            whole.HeadAt.value_or(body.size()));
    REQUIRE(whole.HeadAt == expected);
    std::vector<std::size_t> sizes;
    for (std::size_t left = body.size(); left > 0; left -= sizes.back())
      sizes.push_back(random() % std::min<std::size_t>(left, 30) + 1);
    const auto [relayed, hasHead] = searchInParts(body, sizes);
    REQUIRE(hasHead == expected.has_value());
    REQUIRE(relayed == body.substr(0, expected.value_or(body.size())));
  }
  // Both results are usual.
  CHECK(found > Cases / 10);
  CHECK(found < Cases * 9 / 10);
}

TEST_CASE("a target's head that the end of a body cuts is found") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signed: 1\r\n\r\n";
  const std::string body = "text that names HTTP/1.1 200 OK\n and more";
  const std::size_t signedAt = head.find("X-Signed:");
  for (std::size_t n = 0; n <= head.size(); ++n) {
    CAPTURE(n);
    const std::string cut = body + head.substr(0, n);
    const bool hasFields = n >= signedAt + std::string("X-Signed:").size();
    const TargetHeadSearch atEnd =
        findTargetHead(cut, HeadExtent::MaybeCut, isOfTarget);
    CHECK(atEnd.HeadAt.has_value() == hasFields);
    const TargetHeadSearch within =
        findTargetHead(cut, HeadExtent::Whole, isOfTarget);
    CHECK(within.HeadAt.has_value() == (n == head.size()));
    CHECK(within.DecidedBytes == body.size());
  }
}

// Guards against a search that starts over at every status line.
TEST_CASE("the search's work grows with the size of a body alone") {
  constexpr std::size_t Bytes = 4 << 20;
  const std::string line =
      GENERATE("HTTP/1.", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n",
               "X: HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n");
  std::string body;
  while (body.size() < Bytes)
    body += line;
  CAPTURE(line);
  int checked = 0;
  std::size_t checkedFields = 0;
  const TargetHeadSearch search =
      findTargetHead(body, HeadExtent::MaybeCut, [&](const ResponseHead &head) {
        ++checked;
        checkedFields += head.Headers.fields().size();
        return false;
      });
  CHECK_FALSE(search.HeadAt);
  // What can still become a head is bounded.
  CHECK(body.size() - search.DecidedBytes <= 16384);
  // No field is decoded twice.
  CHECK(checkedFields <= body.size() / line.size());
  CHECK(static_cast<std::size_t>(checked) <= body.size() / line.size());
}
