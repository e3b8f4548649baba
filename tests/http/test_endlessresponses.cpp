// Responses with a head, chunk extension or trailer that doesn't end.
#include "adapterhttp/responseparser.h"

#include <catch2/catch.hpp>

using bergamot::adapterhttp::ResponseParser;

TEST_CASE("an endless line of a response is refused instead of kept",
          "[http]") {
  constexpr std::size_t MaxKeptBytes = 512 * 1024;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string beginning =
      GENERATE_COPY(std::string("HTTP/1.1 200 OK\r\nx: "), chunked + "1;",
                    chunked + "0\r\nx: ");
  CAPTURE(beginning);
  const std::string piece(16384, 'x');
  ResponseParser parser(false);
  std::string problem = parser.add(beginning);
  std::size_t kept = 0;
  while (problem.empty() && kept < 2 * MaxKeptBytes) {
    problem = parser.add(piece);
    kept += piece.size();
  }
  CHECK(!problem.empty());
  CHECK(kept <= MaxKeptBytes);
}
